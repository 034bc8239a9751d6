/// \file
/// A loopback proxy that harms the connections through it.
#ifndef CUMINSWITCH_TEST_SOAK_FAULT_PROXY_H_
#define CUMINSWITCH_TEST_SOAK_FAULT_PROXY_H_

#include <cstdint>
#include <list>
#include <memory>

#include "cuminswitch/Support/endpoint.h"

struct event_base;
struct evconnlistener;

namespace cuminswitch::soak {

/// What happens to a proxy's connections.
enum class link_fault : uint8_t {
  kNone,
  /// Bytes are held for a while, both ways.
  kDelay,
  /// Open connections are reset, new ones work: a fault of one moment.
  kReset,
  /// What the target sends is dropped, on these connections for good; the other
  /// direction works.
  kOneWay,
  /// Nothing passes, and nothing is closed.
  kSilent,
  /// Connections that are open now are silent for good; new ones work.
  kForget,
};
inline constexpr int kLinkFaults = 6;

/// Accepts connections on a free port and passes them on to one target.
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
