// Permits for requests to upstreams that advertise a rate limit, and what
// happens to a request that is denied one.
#include <algorithm>
#include <utility>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

/// This daemon asks again after at most this time, even if its send slot was
/// announced for later: daemons with earlier slots may not use theirs.
static constexpr duration kMaxPermitWait = std::chrono::seconds(10);
static constexpr duration kMinPermitWait = std::chrono::milliseconds(10);

/// Whether a replica other than \p chosen has capacity for a request now.
static bool HasOtherWithCapacity(const eligible_replicas& eligible,
                                 replica_index chosen) {
  for (size_t i = 0; i < eligible.indices.size(); ++i) {
    if (eligible.has_free_slot[i] && eligible.indices[i] != chosen) {
      return true;
    }
  }
  return false;
}

void request_router::SendOrRequestPermit(time_point now,
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
  // The limit applies to all daemons together, so no daemon can decide alone
  // whether one more request is within it.
  item.current_stage = stage::kAwaitingPermit;
  item.pending_placement = chosen;
  if (replicas_[chosen.index].permits > 0) {
    replicas_.KeepPermit(chosen.index);
    item.keeps_permit = true;
  }
  permit_requests_.push_back(
      {.request = item.info.request,
       .upstream = upstream,
       .rate = *rate,
       .limit_age = limits_.Age(now, upstream),
       .waits = !HasOtherWithCapacity(eligible, chosen.index)});
}

void request_router::OnPermit(time_point now,
                              const permit_reply& reply,
                              action_list& out) {
  const std::optional<replica_index> index =
      replicas_.FindByHash(reply.upstream);
  const auto found = requests_.find(reply.request);
  const bool is_asking =
      found != requests_.end() &&
      found->second.current_stage == stage::kAwaitingPermit && index &&
      found->second.pending_placement.index == *index;
  if (!reply.is_granted && index && limits_.Find(reply.upstream)) {
    replicas_.SetLimited(
        now, *index,
        std::clamp(reply.retry_after, kMinPermitWait, kMaxPermitWait));
  }
  if (!is_asking) {
    ReturnPermit(reply);
    return;
  }
  request& item = found->second;
  if (std::exchange(item.keeps_permit, false)) {
    replicas_.ReturnKeptPermit(*index);
  }
  if (RefuseIfQuarantined(now, item, out)) {
    ReturnPermit(reply);
    return;
  }
  if (!reply.is_granted) {
    Admit(now, item, out);
    return;
  }
  // The upstream may have begun to leave meanwhile, or requested a backoff.
  const eligible_replicas eligible = ListEligible(now, item, item.excluded);
  const replica& target = replicas_[*index];
  const bool has_permit = !target.rejection_limit || target.permits > 0;
  if (has_permit && now >= target.backoff_until &&
      std::binary_search(eligible.indices.begin(), eligible.indices.end(),
                         *index)) {
    Dispatch(now, item, item.pending_placement, eligible.indices, out);
    return;
  }
  ReturnPermit(reply);
  Admit(now, item, out);
}

void request_router::ReturnPermit(const permit_reply& reply) {
  const std::optional<double> rate = limits_.Find(reply.upstream);
  if (reply.is_granted && rate) {
    unused_permits_.push_back({.upstream = reply.upstream, .rate = *rate});
  }
}

void request_router::OnLimitChange(uint64_t upstream,
                                   upstream_limits::change what) {
  const std::optional<replica_index> index = replicas_.FindByHash(upstream);
  if (what != upstream_limits::change::kNothing && index) {
    // The announced send slot was based on the previous limit.
    replicas_.ClearLimited(*index);
  }
}

upstream_limits::change request_router::OnLimit(time_point now,
                                                uint64_t upstream,
                                                time_point sent,
                                                const limit_notice& notice) {
  const auto what = limits_.OnResponse(now, upstream, sent, notice);
  OnLimitChange(upstream, what);
  return what;
}

upstream_limits::change request_router::OnPeerLimit(
    time_point now,
    const limit_update& update) {
  const auto what = limits_.OnUpdate(now, update);
  OnLimitChange(update.upstream, what);
  return what;
}

std::vector<uint64_t> request_router::ExpireLimits(time_point now) {
  std::vector<uint64_t> expired = limits_.TakeExpired(now);
  for (const uint64_t upstream : expired) {
    OnLimitChange(upstream, upstream_limits::change::kEnded);
  }
  return expired;
}

upstream_limits::change request_router::ForgetLimit(uint64_t upstream) {
  const auto what = limits_.Forget(upstream);
  OnLimitChange(upstream, what);
  return what;
}

}  // namespace cuminswitch
