/// \file
/// What daemons tell each other of one daemon.
#ifndef CUMINSWITCH_PROTOCOL_MEMBER_H_
#define CUMINSWITCH_PROTOCOL_MEMBER_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// Ordered so that, for one incarnation and version, the greater one wins.
enum class member_status : uint8_t { kAlive, kSuspect, kLeaving, kDead };

std::string_view ToString(member_status value);

/// One daemon as others see it.
struct member {
  std::string host;
  /// Where other daemons reach it.
  endpoint peer_address;
  /// Where callers reach it.
  endpoint caller_address;
  std::string failure_domain;
  /// Differs for each start of the daemon, and grows.
  uint64_t incarnation = 0;
  /// Raised by the daemon itself whenever what it says of itself changes.
  uint32_t version = 0;
  member_status status = member_status::kAlive;
  /// The idempotency-key shards that it owns.
  std::vector<shard_number> shards;

  /// Whether this statement replaces \p other about the same host.
  bool Supersedes(const member& other) const {
    return std::tie(incarnation, version, status) >
           std::tie(other.incarnation, other.version, other.status);
  }
  /// Whether it may be given new work.
  bool IsServing() const {
    return status == member_status::kAlive || status == member_status::kSuspect;
  }
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_MEMBER_H_
