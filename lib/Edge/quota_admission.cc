#include "cuminswitch/Edge/quota_admission.h"

#include <utility>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Workspaces that are counted under their own name; a configuration may
/// contain thousands.
static constexpr size_t kMaxCounted = 64;
static constexpr const char* kOtherWorkspaces = "other";
/// A reservation is made only if the caller's wait is at most the time left
/// divided by this. A caller that is told to wait longer retries early or not
/// at all, and would not use the reservation.
static constexpr int kMaxWaitDivisor = 3;

static double RequestWeight(const quota_config& quota, uint64_t tokens) {
  if (quota.unit == quota_unit::kRequests) {
    return 1;
  }
  return tokens == 0 ? quota.uncounted_tokens : static_cast<double>(tokens);
}

void quota_admission::Submit(time_point now, const admission_query& query) {
  const request_arrived& arrival = query.arrival;
  const quota_request request{
      .ticket = arrival.request,
      .subject = Hash64(arrival.workspace),
      .limit = {.rate = query.quota.rate,
                .burst = query.quota.burst,
                .version = query.version},
      .weight = RequestWeight(query.quota, query.tokens),
      .digest = query.digest,
      .max_wait = query.time_left / kMaxWaitDivisor};
  waiting_[arrival.request] = {.arrival = arrival, .request = request};
  policy_->Admit(now, request);
}

quota_counts& quota_admission::CountsOf(const std::string& workspace) {
  const bool has_room =
      counts_.contains(workspace) || counts_.size() < kMaxCounted;
  return counts_[has_room ? workspace : kOtherWorkspaces];
}

std::vector<quota_admission::admission_result> quota_admission::TakeDecided() {
  std::vector<admission_result> list;
  for (const quota_decision& decision : policy_->TakeDecisions()) {
    const auto found = waiting_.find(decision.ticket);
    if (found == waiting_.end()) {
      continue;
    }
    waiting_request waited = std::move(found->second);
    waiting_.erase(found);
    quota_counts& counts = CountsOf(waited.arrival.workspace);
    counts.limit = waited.request.limit;
    counts.level = decision.level;
    counts.age = decision.age;
    if (decision.is_admitted) {
      ++counts.admitted;
      charged_[decision.ticket] = {.workspace = waited.arrival.workspace,
                                   .request = waited.request,
                                   .runs = 1};
    } else {
      ++counts.refused;
    }
    list.push_back({.arrival = std::move(waited.arrival),
                    .request = waited.request,
                    .decision = decision});
  }
  return list;
}

void quota_admission::OnRuns(time_point now, request_id id, uint32_t runs) {
  const auto found = charged_.find(id);
  if (found == charged_.end()) {
    return;
  }
  charged_request& charged = found->second;
  while (charged.runs < runs) {
    ++charged.runs;
    policy_->Charge(now, charged.request);
  }
}

void quota_admission::OnEnd(time_point now, request_id id, uint32_t runs) {
  const auto found = charged_.find(id);
  if (found == charged_.end()) {
    return;
  }
  const charged_request charged = std::move(found->second);
  charged_.erase(found);
  if (runs >= charged.runs) {
    return;
  }
  quota_request refund = charged.request;
  refund.weight *= -static_cast<double>(charged.runs - runs);
  CountsOf(charged.workspace).refunded -= refund.weight;
  policy_->Charge(now, refund);
}

}  // namespace cuminswitch
