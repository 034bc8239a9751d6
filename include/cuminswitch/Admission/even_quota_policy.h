/// \file
/// Quotas split into even shares, without messages between daemons.
#ifndef CUMINSWITCH_ADMISSION_EVEN_QUOTA_POLICY_H_
#define CUMINSWITCH_ADMISSION_EVEN_QUOTA_POLICY_H_

#include <unordered_map>

#include "cuminswitch/Admission/quota_bucket.h"
#include "cuminswitch/Admission/quota_policy.h"

namespace cuminswitch {

/// Each daemon grants an even share of each limit and queries no other daemon,
/// so a network partition doesn't affect it. A daemon that reaches no owner
/// falls back to this policy. Its cost: where a subject's requests concentrate
/// on a few daemons, or one request weighs as much as a daemon's share of
/// several seconds, most requests are refused although the subject is below its
/// limit.
///
/// Daemons that start together would each let one request overdraw its share.
/// So each bucket starts in debt by a fraction of its first request; the
/// fraction differs between daemons, and the sum over the fleet stays within
/// the limit on average.
class even_quota_policy : public quota_policy {
 public:
  struct options {
    /// Selects the initial debts; differs between daemons.
    uint64_t seed = 0;
  };

  explicit even_quota_policy(const options& opts) : options_(opts) {}

  void SetFleet(time_point now, const quota_fleet_view& fleet) override;
  void Admit(time_point now, const quota_request& item) override;
  void Charge(time_point now, const quota_request& item) override;
  void OnQuery(time_point /*now*/, const quota_query& /*query*/) override {}
  void OnReply(time_point /*now*/, const quota_reply& /*reply*/) override {}
  void OnTick(time_point now) override;

 private:
  /// This daemon's share of one subject's quota.
  struct subject_share {
    quota_bucket bucket;
    /// Limit of the whole fleet.
    quota_limit limit;
    time_point used_at{};
  };

  /// Returns the share of \p item's subject, created and updated as needed.
  subject_share& Find(time_point now, const quota_request& item);

  options options_;
  /// Number of daemons that divide each limit.
  size_t daemon_count_ = 1;
  /// By subject.
  std::unordered_map<uint64_t, subject_share> shares_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_EVEN_QUOTA_POLICY_H_
