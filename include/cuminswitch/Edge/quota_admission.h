/// \file
/// Holds requests until it is decided whether they are within their quota.
#ifndef CUMINSWITCH_EDGE_QUOTA_ADMISSION_H_
#define CUMINSWITCH_EDGE_QUOTA_ADMISSION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Admission/quota_policy.h"
#include "cuminswitch/Fleet/routing_config.h"
#include "cuminswitch/Protocol/core_event.h"

namespace cuminswitch {

/// A daemon's counters for one workspace's quota.
struct quota_counts {
  uint64_t admitted = 0;
  uint64_t refused = 0;
  /// Units of admitted requests that were not executed.
  double refunded = 0;
  /// Of the last decision: the limit, the units left, and the age of that
  /// level.
  quota_limit limit;
  double level = 0;
  duration age{0};
};

/// Determines the weight of each request, submits the request to the quota
/// policy, charges each execution at an upstream, and refunds the charges for
/// executions that are known not to have happened.
class quota_admission {
 public:
  /// A request with the decision about it.
  struct admission_result {
    request_arrived arrival;
    quota_request request;
    quota_decision decision;
  };
  /// A request to decide about.
  struct admission_query {
    request_arrived arrival;
    const quota_config& quota;
    /// Version of the configuration that contains the quota.
    uint64_t version = 0;
    /// Prompt tokens plus maximum output tokens; 0 if the request states none.
    uint64_t tokens = 0;
    /// Digest of the request, by which a caller's repeated request is
    /// recognised.
    uint64_t digest = 0;
    duration time_left{0};
  };

  explicit quota_admission(std::unique_ptr<quota_policy> policy)
      : policy_(std::move(policy)) {}

  quota_policy& policy() { return *policy_; }
  void Submit(time_point now, const admission_query& query);
  /// Returns the requests decided since the last call.
  std::vector<admission_result> TakeDecided();
  /// Charges the executions of the request up to \p runs that are not charged
  /// yet.
  void OnRuns(time_point now, request_id id, uint32_t runs);
  /// The request ended after \p runs executions; refunds those charged beyond.
  void OnEnd(time_point now, request_id id, uint32_t runs);
  const std::map<std::string, quota_counts>& counts() const { return counts_; }

 private:
  struct waiting_request {
    request_arrived arrival;
    quota_request request;
  };
  struct charged_request {
    std::string workspace;
    quota_request request;
    uint32_t runs = 0;
  };

  quota_counts& CountsOf(const std::string& workspace);

  std::unique_ptr<quota_policy> policy_;
  std::unordered_map<request_id, waiting_request> waiting_;
  std::unordered_map<request_id, charged_request> charged_;
  std::map<std::string, quota_counts> counts_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_QUOTA_ADMISSION_H_
