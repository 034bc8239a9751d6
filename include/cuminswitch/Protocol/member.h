/// \file
/// Membership state of one daemon, as exchanged between daemons.
#ifndef CUMINSWITCH_PROTOCOL_MEMBER_H_
#define CUMINSWITCH_PROTOCOL_MEMBER_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// Ordered by precedence: for the same incarnation and version, the greater
/// status wins.
enum class member_status : uint8_t { kAlive, kSuspect, kLeaving, kDead };

std::string_view ToString(member_status value);

/// State of one daemon as known to another.
struct member {
  std::string host;
  /// Address for other daemons.
  endpoint peer_address;
  /// Address for callers.
  endpoint caller_address;
  std::string failure_domain;
  /// Increases with each start of the daemon.
  uint64_t incarnation = 0;
  /// Incremented by the daemon itself whenever its advertised state changes.
  uint32_t version = 0;
  member_status status = member_status::kAlive;
  /// The idempotency-key shards that it owns.
  std::vector<shard_number> shards;

  /// Whether this state replaces \p other of the same host.
  bool Supersedes(const member& other) const {
    return std::tie(incarnation, version, status) >
           std::tie(other.incarnation, other.version, other.status);
  }
  /// Whether new requests may be assigned to it.
  bool IsServing() const {
    return status == member_status::kAlive || status == member_status::kSuspect;
  }
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_MEMBER_H_
