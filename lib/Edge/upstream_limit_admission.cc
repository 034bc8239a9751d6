#include "cuminswitch/Edge/upstream_limit_admission.h"

#include "cuminswitch/Admission/upstream_limits.h"

namespace cuminswitch {

/// An owner reserves a send slot for a daemon only within this time.
static constexpr duration kMaxSendSlotWait = std::chrono::seconds(10);

permit_reply upstream_limit_admission::permit_result::ToReply() const {
  return {.request = permit.request,
          .upstream = permit.upstream,
          .is_granted = decision.is_admitted,
          .retry_after = decision.retry_after};
}

quota_request upstream_limit_admission::MakeRequest(uint64_t upstream,
                                                    double rate) const {
  return {.subject = upstream,
          .limit = QuotaOfLimit(rate),
          .weight = 1,
          .digest = requester_id_};
}

void upstream_limit_admission::Submit(time_point now,
                                      const permit_request& request) {
  quota_request item = MakeRequest(request.upstream, request.rate);
  item.ticket = ++next_ticket_;
  item.limit_age = request.limit_age;
  // A send slot reserved for a daemon whose requests go to other upstreams
  // meanwhile is unused: a third of the limit where hundreds of daemons send
  // requests.
  item.max_wait = request.waits ? kMaxSendSlotWait : duration(0);
  waiting_[item.ticket] = request;
  policy_->Admit(now, item);
}

void upstream_limit_admission::Release(time_point now,
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
    list.push_back({.permit = found->second, .decision = decision});
    waiting_.erase(found);
  }
  return list;
}

}  // namespace cuminswitch
