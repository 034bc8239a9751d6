/// \file
/// Quotas in even parts, without a message between daemons.
#ifndef CUMINSWITCH_ADMISSION_EVEN_QUOTA_POLICY_H_
#define CUMINSWITCH_ADMISSION_EVEN_QUOTA_POLICY_H_

#include <unordered_map>

#include "cuminswitch/Admission/quota_bucket.h"
#include "cuminswitch/Admission/quota_policy.h"

namespace cuminswitch {

/// Each daemon gives out its even part of each limit and asks nobody. What a
/// cut does to it is nothing; it is what a daemon falls back to that reaches no
/// owner. The price: where a subject's requests gather on few daemons, or
/// one weighs as much as a daemon's part of some seconds, most are refused that
/// are below the limit.
///
/// All daemons that begin at once would each let one request overdraw its part,
/// so each begins in debt by another part of the first request that it sees.
/// The sum then holds on average.
class even_quota_policy : public quota_policy {
 public:
  struct options {
    /// Differs between daemons.
    uint64_t seed = 0;
  };

  explicit even_quota_policy(const options& opts) : options_(opts) {}

  void SetFleet(time_point now, const quota_fleet_view& fleet) override;
  void Admit(time_point now, const quota_request& item) override;
  void Charge(time_point now, const quota_request& item) override;
  void OnQuery(time_point /*now*/, const quota_query& /*ask*/) override {}
  void OnReply(time_point /*now*/, const quota_reply& /*verdict*/) override {}
  void OnTick(time_point now) override;

 private:
  struct part {
    quota_bucket bucket;
    quota_limit limit;
    time_point used_at{};
  };

  part& Find(time_point now, const quota_request& item);

  options options_;
  size_t known_ = 1;
  std::unordered_map<uint64_t, part> parts_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_EVEN_QUOTA_POLICY_H_
