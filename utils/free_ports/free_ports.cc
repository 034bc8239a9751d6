// Prints ports that were free a moment ago, one a line, for scripts that must
// name a daemon's addresses before it runs.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <vector>

int main(int argc, char** argv) {
  const int count = argc > 1 ? std::atoi(argv[1]) : 1;
  std::vector<int> sockets;
  for (int i = 0; i < count; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    if (fd < 0 || bind(fd, raw, size) != 0 ||
        getsockname(fd, raw, &size) != 0) {
      std::cerr << "free_ports: no free port\n";
      return 1;
    }
    // Held until all are chosen, so that no port comes twice.
    sockets.push_back(fd);
    std::cout << ntohs(address.sin_port) << "\n";
  }
  for (const int fd : sockets) {
    close(fd);
  }
  return 0;
}
