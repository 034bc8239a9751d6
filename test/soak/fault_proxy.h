/// \file
/// A loopback TCP proxy that injects faults into its connections.
#ifndef CUMINSWITCH_TEST_SOAK_FAULT_PROXY_H_
#define CUMINSWITCH_TEST_SOAK_FAULT_PROXY_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>

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

/// What happens to the connections of a partitioned process.
enum class partition_kind : uint8_t {
  /// No bytes are forwarded, and no connection is closed.
  kHang,
  /// Open connections are reset, and so are new ones.
  kReset,
  /// Open connections live on, and new ones are reset.
  kRefuseNew,
};
/// Number of values of `partition_kind`.
inline constexpr int kPartitionKinds = 3;

/// The processes that are partitioned from a target, by name.
struct partition {
  std::set<std::string> processes;
  partition_kind kind = partition_kind::kHang;
};

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
  /// Responses on new connections get neither a length nor chunks and end with
  /// their connection, whose end is always an orderly close.
  void RemoveFraming() { removes_framing_ = true; }
  /// Returns the name of the process whose socket connects two ports.
  using owner_lookup =
      std::function<std::string(uint16_t local, uint16_t remote)>;
  /// Sets how connections are attributed to processes, which is needed before
  /// `SetPartition`.
  void SetOwnerLookup(owner_lookup lookup) { lookup_ = std::move(lookup); }
  /// Applies \p cut, which must outlive the proxy, after it has changed.
  void SetPartition(const partition& cut);

 private:
  class link;

  void Accept(int fd);
  bool IsPartitioned(const link& item) const;

  event_base* base_;
  endpoint target_;
  endpoint address_;
  evconnlistener* listener_;
  link_fault fault_ = link_fault::kNone;
  bool removes_framing_ = false;
  owner_lookup lookup_;
  const partition* partition_ = nullptr;
  std::list<std::unique_ptr<link>> links_;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_FAULT_PROXY_H_
