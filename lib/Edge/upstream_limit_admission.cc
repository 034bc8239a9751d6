#include "cuminswitch/Edge/upstream_limit_admission.h"

#include "cuminswitch/Admission/upstream_limits.h"

namespace cuminswitch {

/// An owner keeps a daemon's turn if it comes within this time.
static constexpr duration kTurnPatience = std::chrono::seconds(10);

permit_reply upstream_limit_admission::permit_result::Answer() const {
  return {.request = request.request,
          .upstream = request.upstream,
          .is_granted = decision.is_admitted,
          .retry_after = decision.retry_after};
}

quota_request upstream_limit_admission::MakeRequest(uint64_t upstream,
                                                    double rate) const {
  return {.subject = upstream,
          .limit = QuotaOfLimit(rate),
          .weight = 1,
          .digest = turn_};
}

void upstream_limit_admission::Ask(time_point now,
                                   const permit_request& question) {
  quota_request item = MakeRequest(question.upstream, question.rate);
  item.ticket = ++next_ticket_;
  item.limit_age = question.limit_age;
  // A turn that is kept for a daemon whose requests go elsewhere meanwhile is
  // lost to all: a third of the limit where hundreds of daemons ask.
  item.max_wait = question.waits ? kTurnPatience : duration(0);
  waiting_[item.ticket] = question;
  policy_->Admit(now, item);
}

void upstream_limit_admission::Return(time_point now,
                                      const permit_return& unused) {
  ++totals_.unused;
  quota_request item = MakeRequest(unused.upstream, unused.rate);
  item.weight = -1;
  policy_->Charge(now, item);
}

std::vector<upstream_limit_admission::permit_result>
upstream_limit_admission::TakeDecided() {
  std::vector<permit_result> list;
  for (const quota_decision& decision : policy_->TakeDecisions()) {
    const auto found = waiting_.find(decision.ticket);
    if (found == waiting_.end()) {
      continue;
    }
    ++(decision.is_admitted ? totals_.granted : totals_.denied);
    list.push_back({.request = found->second, .decision = decision});
    waiting_.erase(found);
  }
  return list;
}

}  // namespace cuminswitch
