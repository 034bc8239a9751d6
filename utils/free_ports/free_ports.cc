// Prints ports that were free a moment ago, one a line, for scripts that must
// name a daemon's addresses before it runs. They lie below the range from which
// the system gives ports to sockets that ask for any: from within it, another
// process' connection could take one before the daemon listens, which would
// show as a daemon that now and then cannot start.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <vector>

static constexpr int kFirstPort = 10'000;
static constexpr int kPortCount = 20'000;

/// Returns a socket bound to \p port, or -1 when it is taken.
static int BindPort(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    return fd;
  }
  close(fd);
  return -1;
}

int main(int argc, char** argv) {
  const int count = argc > 1 ? std::atoi(argv[1]) : 1;
  std::vector<int> sockets;
  // Processes that run side by side begin far from each other.
  constexpr int kStride = 97;
  const int start = getpid() * kStride;
  for (int i = 0; i < kPortCount && std::ssize(sockets) < count; ++i) {
    const int port = kFirstPort + (start + i) % kPortCount;
    // Held until all are chosen, so that no port comes twice.
    if (const int fd = BindPort(port); fd >= 0) {
      sockets.push_back(fd);
      std::cout << port << "\n";
    }
  }
  for (const int fd : sockets) {
    close(fd);
  }
  if (std::ssize(sockets) < count) {
    std::cerr << "free_ports: no free port\n";
    return 1;
  }
  return 0;
}
