/// \file
/// Messages between daemons that share an upstream's concurrency. The structs
/// are one family and share this header.
#ifndef CUMINSWITCH_PROTOCOL_CONCURRENCY_MESSAGE_H_
#define CUMINSWITCH_PROTOCOL_CONCURRENCY_MESSAGE_H_

#include <cstdint>
#include <variant>

#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// What a daemon has in flight at an upstream, and what it would like to send.
struct concurrency_demand {
  /// Hash of the upstream's name.
  uint64_t upstream = 0;
  /// Requests that the upstream executes concurrently.
  uint32_t slots = 1;
  /// Rejections per second that it survives.
  uint32_t rejection_limit = 0;
  /// Requests in flight, and permits that were granted and are not used yet.
  uint32_t held = 0;
  /// Requests that wait for a permit.
  uint32_t wanted = 0;
  /// How long the first of them has waited.
  duration oldest_wait{0};
  /// Requests that the upstream rejected since this daemon's start.
  uint64_t rejected = 0;
};

/// Reports a daemon's demand to the owner of an upstream's permits.
struct concurrency_report {
  /// Address for grants.
  endpoint from;
  /// Identifies the sender and its incarnation.
  uint64_t requester = 0;
  /// Identifies the owner, and its incarnation, whose grants `granted` counts;
  /// 0 if none has replied yet.
  uint64_t owner = 0;
  /// Permits received from that owner for the upstream so far.
  uint64_t granted = 0;
  bool wants_reply = false;
  concurrency_demand demand;
};

/// Grants permits. Counts are cumulative, so that a lost grant is made good by
/// the next one.
struct concurrency_grant {
  /// Address of the owner.
  endpoint from;
  /// Identifies the owner and its incarnation.
  uint64_t owner = 0;
  uint64_t upstream = 0;
  /// Permits granted to the receiver so far.
  uint64_t granted = 0;
  /// Estimated time until a request that arrives now would get a permit.
  duration wait{0};
};

/// Permits that this daemon may use from now on.
struct permit_change {
  uint64_t upstream = 0;
  /// Permits that were granted since the last change.
  uint32_t granted = 0;
  /// Another daemon owns the upstream now: earlier unused permits are void.
  bool is_new_owner = false;
  /// Estimated time until a request that arrives now would get a permit.
  duration wait{0};
};

/// A report or a grant that is to be sent to another daemon.
struct outgoing_concurrency_message {
  endpoint to;
  std::variant<concurrency_report, concurrency_grant> message;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_CONCURRENCY_MESSAGE_H_
