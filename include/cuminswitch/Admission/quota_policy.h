/// \file
/// Interface of the policies that enforce quotas over a fleet without a
/// coordinator.
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
  /// Identifies the request to its submitter; not 0.
  uint64_t ticket = 0;
  /// Hash of the subject's name.
  uint64_t subject = 0;
  quota_limit limit;
  /// Time since the limit was received, where it determines which limit is
  /// newer.
  duration limit_age{0};
  /// Units that the request uses.
  double weight = 0;
  /// Hash of the request's content; a repeated request has the same one.
  uint64_t digest = 0;
  /// Longest wait after which the caller would return.
  duration max_wait{0};
};

/// Who decided about a request, and by what.
enum class quota_source : uint8_t {
  /// The subject's owner, another daemon.
  kOwner,
  /// This daemon, as the owner.
  kSelf,
  /// This daemon, by the level that an owner recently reported; no owner was
  /// reached.
  kCached,
  /// This daemon, by its local share of the limit; no owner was reached.
  kLocalShare,
  /// Refused, since no owner was reached and there is no fallback.
  kNone,
};

std::string_view ToString(quota_source source);

/// The decision about a `quota_request`.
struct quota_decision {
  uint64_t ticket = 0;
  bool is_admitted = false;
  duration retry_after{0};
  quota_source source = quota_source::kOwner;
  /// Units left, as known to the daemon that decided; may be below 0.
  double level = 0;
  /// Age of `level`.
  duration age{0};
  /// Share of the limit that the daemon that decided grants, from 0 to 1.
  double share = 1;
};

/// A daemon's view of the fleet.
struct quota_fleet_view {
  /// The other daemons that are alive and do not shut down.
  std::span<const endpoint> alive;
  /// Those that shut down: they own nothing any more, and still send requests.
  std::span<const endpoint> leaving;
  /// Number of possibly active daemons of the deployment, unresponsive ones and
  /// this one included.
  size_t possibly_active = 1;
  /// Time within which all daemons have seen a change.
  duration convergence_time = std::chrono::seconds(3);
  /// Whether this daemon is shutting down, so that others don't take it for an
  /// owner.
  bool is_leaving = false;
};

/// Decides which requests are within their subjects' quotas. Has no clock and
/// does no I/O: its caller takes decisions and messages from it.
class quota_policy {
 public:
  virtual ~quota_policy() = default;

  virtual void SetFleet(time_point now, const quota_fleet_view& fleet) = 0;
  /// Decides about a request, either at once or after a peer's reply.
  virtual void Admit(time_point now, const quota_request& item) = 0;
  /// Reports that an admitted request used `item.weight` units more than
  /// admitted, or fewer where it is below 0.
  virtual void Charge(time_point now, const quota_request& item) = 0;
  virtual void OnQuery(time_point now, const quota_query& query) = 0;
  virtual void OnReply(time_point now, const quota_reply& reply) = 0;
  /// Handles timeouts; called several times per second.
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
