/// \file
/// Conversions between endpoints and socket addresses.
#ifndef CUMINSWITCH_NET_SOCKET_ADDRESS_H_
#define CUMINSWITCH_NET_SOCKET_ADDRESS_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include <string>

#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

inline sockaddr_in ToSocketAddress(const endpoint& value) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(value.port);
  inet_pton(AF_INET, value.address.c_str(), &address.sin_addr);
  return address;
}

/// Returns an IPv4 address in text form, without its port; empty for other
/// address families.
inline std::string NumericAddress(const sockaddr& value) {
  if (value.sa_family != AF_INET) {
    return {};
  }
  char text[INET_ADDRSTRLEN] = {};
  const auto& address = reinterpret_cast<const sockaddr_in&>(value);
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return text;
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_SOCKET_ADDRESS_H_
