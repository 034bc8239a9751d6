// Requests for upstreams that name a limit: whether they may be sent now, and
// what becomes of them if not.
#include <algorithm>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

/// This daemon asks again after so long, however late its turn was said to be:
/// those before it may not come for theirs.
static constexpr duration kLongestTurn = std::chrono::seconds(10);
static constexpr duration kShortestTurn = std::chrono::milliseconds(10);

/// Whether a replica other than \p chosen can take a request now.
static bool HasRoomBeside(const eligible_replicas& eligible,
                          replica_index chosen) {
  for (size_t i = 0; i < eligible.indices.size(); ++i) {
    if (eligible.has_room[i] && eligible.indices[i] != chosen) {
      return true;
    }
  }
  return false;
}

void request_router::SendOrAsk(time_point now,
                               request& item,
                               const placement& chosen,
                               const eligible_replicas& eligible,
                               action_list& out) {
  const uint64_t upstream = replicas_[chosen.index].name_hash;
  const std::optional<double> rate = limits_.Find(upstream);
  if (!rate) {
    Dispatch(now, item, chosen, eligible.indices, out);
    return;
  }
  // The limit holds for all daemons together, so no daemon can tell by itself
  // whether the upstream takes one more.
  item.at = stage::kAsking;
  item.asked = chosen;
  permit_questions_.push_back(
      {.request = item.info.request,
       .upstream = upstream,
       .rate = *rate,
       .limit_age = limits_.Age(now, upstream),
       .waits = !HasRoomBeside(eligible, chosen.index)});
}

void request_router::OnPermit(time_point now,
                              const permit_reply& answer,
                              action_list& out) {
  const std::optional<replica_index> index =
      replicas_.FindByHash(answer.upstream);
  const auto found = requests_.find(answer.request);
  const bool is_asking = found != requests_.end() &&
                         found->second.at == stage::kAsking && index &&
                         found->second.asked.index == *index;
  if (!answer.is_granted && index && limits_.Find(answer.upstream)) {
    replicas_.SetLimited(
        now, *index,
        std::clamp(answer.retry_after, kShortestTurn, kLongestTurn));
  }
  if (!is_asking) {
    ReturnPermit(answer);
    return;
  }
  request& item = found->second;
  if (RefuseIfQuarantined(now, item, out)) {
    ReturnPermit(answer);
    return;
  }
  if (!answer.is_granted) {
    Admit(now, item, out);
    return;
  }
  // The upstream may have begun to leave meanwhile, or asked for rest.
  const eligible_replicas eligible = replicas_.ListEligible(
      now, item.info.target, AllowedDomains(item), item.excluded);
  if (now >= replicas_[*index].backoff_until &&
      std::binary_search(eligible.indices.begin(), eligible.indices.end(),
                         *index)) {
    Dispatch(now, item, item.asked, eligible.indices, out);
    return;
  }
  ReturnPermit(answer);
  Admit(now, item, out);
}

void request_router::ReturnPermit(const permit_reply& answer) {
  const std::optional<double> rate = limits_.Find(answer.upstream);
  if (answer.is_granted && rate) {
    unused_permits_.push_back({.upstream = answer.upstream, .rate = *rate});
  }
}

void request_router::NoteLimitChange(uint64_t upstream,
                                     upstream_limits::change what) {
  const std::optional<replica_index> index = replicas_.FindByHash(upstream);
  if (what != upstream_limits::change::kNothing && index) {
    // When the next turn comes was said of the limit before.
    replicas_.ClearLimited(*index);
  }
}

upstream_limits::change request_router::OnLimit(time_point now,
                                                uint64_t upstream,
                                                time_point sent,
                                                const limit_notice& notice) {
  const auto what = limits_.OnAnswer(now, upstream, sent, notice);
  NoteLimitChange(upstream, what);
  return what;
}

upstream_limits::change request_router::OnPeerLimit(time_point now,
                                                    const limit_update& news) {
  const auto what = limits_.OnUpdate(now, news);
  NoteLimitChange(news.upstream, what);
  return what;
}

std::vector<uint64_t> request_router::ExpireLimits(time_point now) {
  std::vector<uint64_t> expired = limits_.TakeExpired(now);
  for (const uint64_t upstream : expired) {
    NoteLimitChange(upstream, upstream_limits::change::kEnded);
  }
  return expired;
}

upstream_limits::change request_router::ForgetLimit(uint64_t upstream) {
  const auto what = limits_.Forget(upstream);
  NoteLimitChange(upstream, what);
  return what;
}

}  // namespace cuminswitch
