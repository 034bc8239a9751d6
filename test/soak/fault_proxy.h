/// \file
/// A loopback TCP proxy that injects faults into its connections.
#ifndef CUMINSWITCH_TEST_SOAK_FAULT_PROXY_H_
#define CUMINSWITCH_TEST_SOAK_FAULT_PROXY_H_

#include <cstdint>
#include <list>
#include <memory>

#include "cuminswitch/Support/endpoint.h"

struct event_base;
struct evconnlistener;

namespace cuminswitch::soak {

/// Faults of a proxy's connections.
enum class link_fault : uint8_t {
  kNone,
  /// Bytes are delayed in both directions.
  kDelay,
  /// Open connections are reset once; new ones work.
  kReset,
  /// Bytes from the target are dropped, and stay dropped on a connection that
  /// has lost any; the other direction works.
  kOneWay,
  /// No bytes are forwarded, and no connection is closed.
  kBlackhole,
  /// Open connections never forward bytes again and stay open; new ones work.
  kBlackholeOpen,
};
/// Number of values of `link_fault`.
inline constexpr int kLinkFaults = 6;

/// Accepts connections on a free port and forwards them to one target.
class fault_proxy {
 public:
  fault_proxy(event_base* base, const endpoint& target);
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  ~fault_proxy();

  const endpoint& address() const { return address_; }
  void SetTarget(const endpoint& target) { target_ = target; }
  void SetFault(link_fault fault);
  link_fault fault() const { return fault_; }

 private:
  class link;

  void Accept(int fd);

  event_base* base_;
  endpoint target_;
  endpoint address_;
  evconnlistener* listener_;
  link_fault fault_ = link_fault::kNone;
  std::list<std::unique_ptr<link>> links_;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_FAULT_PROXY_H_
