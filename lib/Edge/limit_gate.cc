#include "cuminswitch/Edge/limit_gate.h"

#include "cuminswitch/Admission/upstream_limits.h"

namespace cuminswitch {

/// An owner keeps a daemon's turn if it comes within this time.
static constexpr duration kTurnPatience = std::chrono::seconds(10);

permit_answer limit_gate::decided_question::Answer() const {
  return {.request = question.request,
          .upstream = question.upstream,
          .is_granted = decision.is_admitted,
          .retry_after = decision.retry_after};
}

quota_request limit_gate::MakeRequest(uint64_t upstream, double rate) const {
  return {.subject = upstream,
          .limit = QuotaOfLimit(rate),
          .weight = 1,
          .digest = turn_};
}

void limit_gate::Ask(time_point now, const permit_question& question) {
  quota_request item = MakeRequest(question.upstream, question.rate);
  item.ticket = ++next_ticket_;
  item.limit_age = question.limit_age;
  // A turn that is kept for a daemon whose requests go elsewhere meanwhile is
  // lost to all: a third of the limit where hundreds of daemons ask.
  item.max_wait = question.waits ? kTurnPatience : duration(0);
  waiting_[item.ticket] = question;
  policy_->Admit(now, item);
}

void limit_gate::Return(time_point now, const permit_return& unused) {
  ++totals_.unused;
  quota_request item = MakeRequest(unused.upstream, unused.rate);
  item.weight = -1;
  policy_->Charge(now, item);
}

std::vector<limit_gate::decided_question> limit_gate::TakeDecided() {
  std::vector<decided_question> list;
  for (const quota_decision& decision : policy_->TakeDecisions()) {
    const auto found = waiting_.find(decision.ticket);
    if (found == waiting_.end()) {
      continue;
    }
    ++(decision.is_admitted ? totals_.granted : totals_.turned_away);
    list.push_back({.question = found->second, .decision = decision});
    waiting_.erase(found);
  }
  return list;
}

}  // namespace cuminswitch
