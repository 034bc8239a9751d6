/// \file
/// Holds requests until they get a permit for an upstream with a rate limit.
#ifndef CUMINSWITCH_EDGE_UPSTREAM_LIMIT_ADMISSION_H_
#define CUMINSWITCH_EDGE_UPSTREAM_LIMIT_ADMISSION_H_

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Admission/quota_policy.h"
#include "cuminswitch/Protocol/send_permit.h"

namespace cuminswitch {

/// Requests permits from the owners of upstreams' rate limits. A rate limit is
/// a quota of all daemons together at one upstream, counted in requests.
///
/// Owners assign send slots to daemons, not to requests: a daemon that is
/// denied a permit, and has requests that no other upstream can accept, gets
/// the time of its next send slot, which it uses for whichever request is then
/// first.
class upstream_limit_admission {
 public:
  /// A permit request with the decision about it.
  struct permit_result {
    permit_request permit;
    quota_decision decision;

    permit_reply ToReply() const;
  };
  /// Counters since the daemon's start.
  struct counts {
    uint64_t granted = 0;
    /// The request was sent to another upstream, or had to wait.
    uint64_t denied = 0;
    /// Permits that were granted and released again.
    uint64_t unused = 0;
  };

  /// \p requester_id identifies this daemon to the owners.
  upstream_limit_admission(std::unique_ptr<quota_policy> policy,
                           uint64_t requester_id)
      : policy_(std::move(policy)), requester_id_(requester_id) {}

  quota_policy& policy() { return *policy_; }
  void Submit(time_point now, const permit_request& request);
  /// Releases a granted permit that was not used.
  void Release(time_point now, const permit_return& unused);
  /// Returns the permit requests decided since the last call.
  std::vector<permit_result> TakeDecided();
  const counts& totals() const { return totals_; }

 private:
  quota_request MakeRequest(uint64_t upstream, double rate) const;

  std::unique_ptr<quota_policy> policy_;
  uint64_t requester_id_;
  /// Distinct from the tickets of workspaces' quotas: a daemon that supports
  /// only those must not have its reply matched to a permit request.
  static constexpr uint64_t kFirstTicket = uint64_t{1} << 62;
  uint64_t next_ticket_ = kFirstTicket;
  std::unordered_map<uint64_t, permit_request> waiting_;
  counts totals_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_UPSTREAM_LIMIT_ADMISSION_H_
