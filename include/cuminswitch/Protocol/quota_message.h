/// \file
/// Messages between daemons that enforce a quota over the whole fleet. The
/// subject of a quota is what the quota is for: a workspace or an upstream.
#ifndef CUMINSWITCH_PROTOCOL_QUOTA_MESSAGE_H_
#define CUMINSWITCH_PROTOCOL_QUOTA_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The kind of a quota's subject.
enum class quota_kind : uint8_t {
  /// Limits what a workspace may use.
  kWorkspace,
  /// Limits what is sent to an upstream that advertises a rate limit.
  kUpstream,
};

/// The limit of a subject over the whole fleet, in units of its quota.
struct quota_limit {
  /// Units per second; 0 for no limit.
  double rate = 0;
  /// Units that may be used at once beyond the rate.
  double burst = 0;
  /// Version of the configuration that sets the limit; the greatest known
  /// version is in force.
  uint64_t version = 0;

  bool IsSet() const { return rate > 0; }
};

/// The units that an owner had left for a subject when it last reported them.
struct quota_level {
  /// Identifies the owner and its incarnation.
  uint64_t owner = 0;
  /// Units left; negative if more were used than available.
  double level = 0;
  /// Age of the level.
  duration age{0};
};

/// Asks a subject's owner whether a request may be sent to an upstream.
struct quota_query {
  /// Address for the reply.
  endpoint from;
  /// Identifies the query at its sender; 0 if no reply is wanted because the
  /// query only reports use.
  uint64_t ticket = 0;
  quota_kind kind = quota_kind::kWorkspace;
  /// Hash of the subject's name.
  uint64_t subject = 0;
  quota_limit limit;
  /// Time since the limit was received; for limits whose age decides which one
  /// is newer.
  duration limit_age{0};
  /// Units that the request uses; negative if units are released.
  double weight = 0;
  /// Digest of the request, by which a repeated request is recognised.
  uint64_t digest = 0;
  /// The longest time that the caller would wait before it retries.
  duration max_wait{0};
  /// The receiver must decide. Otherwise it may forward the query to the daemon
  /// that it considers the owner.
  bool is_final = false;
  /// The last level of the subject that the sender received.
  std::optional<quota_level> last_level;
};

/// Reply to a `quota_query`.
struct quota_reply {
  quota_kind kind = quota_kind::kWorkspace;
  uint64_t ticket = 0;
  bool is_admitted = false;
  /// Time until a refused request can be admitted.
  duration retry_after{0};
  /// Identifies the owner and its incarnation.
  uint64_t owner = 0;
  /// Units left at the owner.
  double level = 0;
  /// Share of the limit that the owner grants, from 0 to 1.
  double share = 1;
};

/// A query or a reply that is to be sent to another daemon.
struct outgoing_quota_message {
  endpoint to;
  std::variant<quota_query, quota_reply> message;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_QUOTA_MESSAGE_H_
