#include "cuminswitch/Edge/quota_admission.h"

#include <utility>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Workspaces that are counted by name; a configuration may hold thousands.
static constexpr size_t kMaxCounted = 64;
static constexpr const char* kOtherWorkspaces = "other";
/// Of the time that is left, what a caller waits before it comes back. Who is
/// told a longer wait comes early or not at all, so nothing is kept for it.
static constexpr int kReturnPart = 3;

static double Weigh(const quota_config& quota, uint64_t tokens) {
  if (quota.unit == quota_unit::kRequests) {
    return 1;
  }
  return tokens == 0 ? quota.uncounted_tokens : static_cast<double>(tokens);
}

void quota_admission::Ask(time_point now, const admission_query& asked) {
  const request_arrived& arrival = asked.arrival;
  const quota_request item{.ticket = arrival.request,
                           .subject = Hash64(arrival.workspace),
                           .limit = {.rate = asked.quota.rate,
                                     .burst = asked.quota.burst,
                                     .version = asked.version},
                           .weight = Weigh(asked.quota, asked.tokens),
                           .digest = asked.digest,
                           .max_wait = asked.time_left / kReturnPart};
  waiting_[arrival.request] = {.arrival = arrival, .item = item};
  policy_->Admit(now, item);
}

quota_counts& quota_admission::CountsOf(const std::string& workspace) {
  const bool has_place =
      counts_.contains(workspace) || counts_.size() < kMaxCounted;
  return counts_[has_place ? workspace : kOtherWorkspaces];
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
    counts.limit = waited.item.limit;
    counts.level = decision.level;
    counts.age = decision.age;
    if (decision.is_admitted) {
      ++counts.admitted;
      charged_[decision.ticket] = {.workspace = waited.arrival.workspace,
                                   .item = waited.item,
                                   .runs = 1};
    } else {
      ++counts.refused;
    }
    list.push_back({.arrival = std::move(waited.arrival),
                    .item = waited.item,
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
    policy_->Charge(now, charged.item);
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
  quota_request back = charged.item;
  back.weight *= -static_cast<double>(charged.runs - runs);
  CountsOf(charged.workspace).given_back -= back.weight;
  policy_->Charge(now, back);
}

}  // namespace cuminswitch
