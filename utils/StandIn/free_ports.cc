#include "StandIn/free_ports.h"

#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

#include "cuminswitch/Net/socket_address.h"

namespace cuminswitch {

static constexpr int kFirstPort = 10'000;
static constexpr int kPortCount = 20'000;
/// Ports between the first candidates of consecutive process ids, so that
/// programs started together rarely try the same ports.
static constexpr int kStride = 97;

/// Returns a socket bound to loopback \p port, or -1 when the port is in use.
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
    // Sockets stay bound until all ports are chosen, so that none is returned
    // twice.
    if (const int fd = BindPort(port); fd >= 0) {
      sockets.push_back(fd);
      ports.push_back(port);
    }
  }
  for (const int fd : sockets) {
    close(fd);
  }
  if (ports.size() < count) {
    throw std::runtime_error("fewer free ports than requested");
  }
  return ports;
}

}  // namespace cuminswitch
