/// \file
/// The system's form of an endpoint.
#ifndef CUMINSWITCH_NET_SOCKET_ADDRESS_H_
#define CUMINSWITCH_NET_SOCKET_ADDRESS_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

inline sockaddr_in ToSocketAddress(const endpoint& value) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(value.port);
  inet_pton(AF_INET, value.address.c_str(), &address.sin_addr);
  return address;
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_SOCKET_ADDRESS_H_
