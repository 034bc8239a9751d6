/// \file
/// How a fleet without a coordinator keeps to the quotas of its subjects.
#ifndef CUMINSWITCH_ADMISSION_QUOTA_POLICY_H_
#define CUMINSWITCH_ADMISSION_QUOTA_POLICY_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "cuminswitch/Protocol/quota_message.h"
#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// A caller's request that counts against a quota.
struct quota_request {
  /// The asker's name for it; not 0.
  uint64_t ticket = 0;
  /// Hash of the subject's name.
  uint64_t subject = 0;
  quota_limit limit;
  /// Since the limit was heard of, where that tells which one is newer.
  duration limit_age{0};
  /// Units that it takes.
  double weight = 0;
  /// Of what it is; a repeat has the same one.
  uint64_t digest = 0;
  /// The longest wait after which its caller would come back.
  duration max_wait{0};
};

/// Who decided about a request.
enum class quota_source : uint8_t {
  /// The subject's owner, another daemon.
  kOwner,
  /// This daemon, as the owner.
  kSelf,
  /// This daemon by what an owner told it just before.
  kCached,
  /// This daemon by its own part of the limit; no owner was reached.
  kLocalShare,
  /// Nobody: no owner was reached.
  kNone,
};

std::string_view ToString(quota_source source);

/// What became of a `quota_request`.
struct quota_decision {
  uint64_t ticket = 0;
  bool is_admitted = false;
  duration retry_after{0};
  quota_source source = quota_source::kOwner;
  /// Units left as the decider knew it, and how old that is.
  double level = 0;
  duration age{0};
  /// Of the limit, what the decider gives out.
  double share = 1;
};

/// What a daemon knows of the others.
struct quota_fleet_view {
  /// The others that live.
  std::span<const endpoint> alive;
  /// Daemons of the deployment that may be at work, silent ones and this one
  /// included.
  size_t known = 1;
  /// Within this time of a change all know of it.
  duration convergence_time = std::chrono::seconds(3);
  /// This daemon stops, and the others pass it over.
  bool is_leaving = false;
};

/// Decides which requests are within their subjects' quotas. Has no clock and
/// does no I/O: what it decides and what it has to say is taken from it.
class quota_policy {
 public:
  virtual ~quota_policy() = default;

  virtual void SetFleet(time_point now, const quota_fleet_view& fleet) = 0;
  /// Decides about a request, now or when a peer has answered.
  virtual void Admit(time_point now, const quota_request& item) = 0;
  /// Reports that an admitted request used more, or, below 0, less.
  virtual void Charge(time_point now, const quota_request& item) = 0;
  virtual void OnQuery(time_point now, const quota_query& ask) = 0;
  virtual void OnReply(time_point now, const quota_reply& verdict) = 0;
  /// Called some times a second.
  virtual void OnTick(time_point now) = 0;

  std::vector<quota_decision> TakeDecisions() {
    return std::exchange(decisions_, {});
  }
  std::vector<outgoing_quota_message> TakeMessages() {
    return std::exchange(messages_, {});
  }

 protected:
  std::vector<quota_decision> decisions_;
  std::vector<outgoing_quota_message> messages_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_QUOTA_POLICY_H_
