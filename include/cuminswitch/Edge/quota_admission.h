/// \file
/// Where requests wait to hear whether they are within their quota.
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

/// What a daemon did about one workspace's quota.
struct quota_counts {
  uint64_t admitted = 0;
  uint64_t refused = 0;
  /// Units of admitted requests that turned out not to have run.
  double given_back = 0;
  /// As last heard: the limit, what was left of it, and how old that was.
  quota_limit limit;
  double level = 0;
  duration age{0};
};

/// Weighs each request once, asks the policy about it, charges each of its runs
/// at an upstream, and gives back what is known not to have run.
class quota_admission {
 public:
  /// A request about which it was decided.
  struct admission_result {
    request_arrived arrival;
    quota_request item;
    quota_decision decision;
  };
  /// A request before its decision.
  struct admission_query {
    request_arrived arrival;
    const quota_config& quota;
    /// Of the configuration that holds the quota.
    uint64_t version = 0;
    /// Tokens that it reads and may write; 0 where it does not say.
    uint64_t tokens = 0;
    /// Of what is asked for, so that a caller's repeat is known.
    uint64_t digest = 0;
    duration time_left{0};
  };

  explicit quota_admission(std::unique_ptr<quota_policy> policy)
      : policy_(std::move(policy)) {}

  quota_policy& policy() { return *policy_; }
  void Ask(time_point now, const admission_query& asked);
  /// Returns the requests that were decided about since the last call.
  std::vector<admission_result> TakeDecided();
  /// The request has \p runs runs that may count; further ones are charged.
  void OnRuns(time_point now, request_id id, uint32_t runs);
  /// The request ended after \p runs runs; what was charged beyond is given
  /// back.
  void OnEnd(time_point now, request_id id, uint32_t runs);
  const std::map<std::string, quota_counts>& counts() const { return counts_; }

 private:
  struct waiting_request {
    request_arrived arrival;
    quota_request item;
  };
  struct charged_request {
    std::string workspace;
    quota_request item;
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
