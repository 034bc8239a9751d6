// Prints free loopback ports, one per line, for scripts that write a daemon's
// addresses into its settings before they start it.
#include "StandIn/free_ports.h"

#include <cstdlib>
#include <exception>
#include <iostream>

int main(int argc, char** argv) {
  const int count = argc > 1 ? std::atoi(argv[1]) : 1;
  try {
    for (const uint16_t port :
         cuminswitch::FindFreePorts(static_cast<size_t>(count))) {
      std::cout << port << "\n";
    }
  } catch (const std::exception& error) {
    std::cerr << "free_ports: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
