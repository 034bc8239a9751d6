#include "StandIn/free_ports.h"

#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

#include "cuminswitch/Net/socket_address.h"

namespace cuminswitch {

static constexpr int kFirstPort = 10'000;
static constexpr int kPortCount = 20'000;
/// Processes that run side by side begin far from each other.
static constexpr int kStride = 97;

/// Returns a socket bound to \p port, or -1 when it is taken.
static int BindPort(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address =
      ToSocketAddress({.address = "127.0.0.1", .port = port});
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
      0) {
    return fd;
  }
  close(fd);
  return -1;
}

std::vector<uint16_t> FindFreePorts(size_t count) {
  std::vector<uint16_t> ports;
  std::vector<int> sockets;
  const int start = getpid() * kStride;
  for (int i = 0; i < kPortCount && ports.size() < count; ++i) {
    const auto port =
        static_cast<uint16_t>(kFirstPort + (start + i) % kPortCount);
    // Held until all are chosen, so that no port comes twice.
    if (const int fd = BindPort(port); fd >= 0) {
      sockets.push_back(fd);
      ports.push_back(port);
    }
  }
  for (const int fd : sockets) {
    close(fd);
  }
  if (ports.size() < count) {
    throw std::runtime_error("no free port");
  }
  return ports;
}

}  // namespace cuminswitch
