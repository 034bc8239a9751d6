/// \file
/// Where requests wait to hear whether an upstream with a limit takes them.
#ifndef CUMINSWITCH_EDGE_UPSTREAM_LIMIT_ADMISSION_H_
#define CUMINSWITCH_EDGE_UPSTREAM_LIMIT_ADMISSION_H_

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Admission/quota_policy.h"
#include "cuminswitch/Protocol/send_permit.h"

namespace cuminswitch {

/// Asks the owners of upstreams' limits about requests. A limit is a quota of
/// all daemons together at one upstream, counted in requests.
///
/// Owners keep turns for daemons, not for requests: one that was turned away
/// and has requests that can go nowhere else is told when it may come again,
/// with whatever request is then first.
class upstream_limit_admission {
 public:
  /// An answer, and what decided it.
  struct permit_result {
    permit_request request;
    quota_decision decision;

    permit_reply Answer() const;
  };
  /// Since the daemon's start.
  struct counts {
    uint64_t granted = 0;
    /// Sent elsewhere, or told to wait.
    uint64_t denied = 0;
    uint64_t unused = 0;
  };

  /// \p turn names this daemon at the owners.
  upstream_limit_admission(std::unique_ptr<quota_policy> policy, uint64_t turn)
      : policy_(std::move(policy)), turn_(turn) {}

  quota_policy& policy() { return *policy_; }
  void Ask(time_point now, const permit_request& question);
  /// A granted request was not sent.
  void Return(time_point now, const permit_return& unused);
  /// Returns what was decided since the last call.
  std::vector<permit_result> TakeDecided();
  const counts& totals() const { return totals_; }

 private:
  quota_request MakeRequest(uint64_t upstream, double rate) const;

  std::unique_ptr<quota_policy> policy_;
  uint64_t turn_;
  /// Apart from those of workspaces' quotas: an answer of a daemon that knows
  /// only these must not be taken for one to such a question.
  static constexpr uint64_t kFirstTicket = uint64_t{1} << 62;
  uint64_t next_ticket_ = kFirstTicket;
  std::unordered_map<uint64_t, permit_request> waiting_;
  counts totals_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_UPSTREAM_LIMIT_ADMISSION_H_
