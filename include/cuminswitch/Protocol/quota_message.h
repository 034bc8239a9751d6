/// \file
/// What daemons tell one another to keep to a quota over the fleet. Its subject
/// is whatever it is about: a workspace that may use so much. The structs are
/// one family and share this header.
#ifndef CUMINSWITCH_PROTOCOL_QUOTA_MESSAGE_H_
#define CUMINSWITCH_PROTOCOL_QUOTA_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// What a quota is about.
enum class quota_kind : uint8_t {
  /// What a workspace may use.
  kWorkspace,
  /// What an upstream in need takes.
  kUpstream,
};

/// What a subject may use over the whole fleet, in units of its quota.
struct quota_limit {
  /// Units a second; 0 for no limit.
  double rate = 0;
  /// Units that may be used at once beyond the rate.
  double burst = 0;
  /// Of the configuration that says so; the greatest one known counts.
  uint64_t version = 0;

  bool IsSet() const { return rate > 0; }
};

/// What an owner had left for a subject when it was last heard.
struct quota_level {
  /// Tells owners apart, and the starts of one.
  uint64_t owner = 0;
  /// Units; below 0 where more was used than is there.
  double level = 0;
  /// Time since it was so.
  duration age{0};
};

/// Asks a subject's owner whether a request may be sent on.
struct quota_query {
  /// Where the answer goes.
  endpoint from;
  /// Names the question at its sender; 0 where no answer is wanted, because
  /// the use is only reported.
  uint64_t ticket = 0;
  quota_kind kind = quota_kind::kWorkspace;
  /// Hash of the subject's name.
  uint64_t subject = 0;
  quota_limit limit;
  /// Since the limit was heard of, where that tells which one is newer.
  duration limit_age{0};
  /// Units that the request takes; below 0 where they are given back.
  double weight = 0;
  /// Of what the request is, so that its repeat is known for it.
  uint64_t digest = 0;
  /// The longest wait after which its caller would come back.
  duration max_wait{0};
  /// Whoever gets it decides; otherwise it may hand it on to whom it takes for
  /// the owner.
  bool is_final = false;
  /// What the sender last heard of the subject.
  std::optional<quota_level> last_level;
};

/// Answers a `quota_query`.
struct quota_reply {
  quota_kind kind = quota_kind::kWorkspace;
  uint64_t ticket = 0;
  bool is_admitted = false;
  /// When a refused request can be taken.
  duration retry_after{0};
  /// Tells the owner and its start.
  uint64_t owner = 0;
  /// What is left.
  double level = 0;
  /// Of the limit, what the owner gives out.
  double share = 1;
};

/// A question, or an answer, for another daemon.
struct outgoing_quota_message {
  endpoint to;
  std::variant<quota_query, quota_reply> message;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_QUOTA_MESSAGE_H_
