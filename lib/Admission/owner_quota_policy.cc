#include "cuminswitch/Admission/owner_quota_policy.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// Timeout of a query to an owner. A round trip takes 1 to 3 ms; a host that
/// has used up its CPU quota is paused for the rest of a 100 ms period.
static constexpr duration kReplyTimeout = std::chrono::milliseconds(120);
/// Owners queried for one request.
static constexpr uint32_t kMaxAttempts = 2;
/// How long an owner that did not reply is skipped; by then its heartbeats show
/// whether it is alive.
static constexpr duration kUnresponsiveBackoff =
    std::chrono::milliseconds(1'000);
/// While no owner replies, a cached level is used for this long, and only if at
/// least this share of the burst was left. A network partition is detected
/// within this time, and a subject over its limit never has as much left.
static constexpr duration kCachedLevelLifetime = std::chrono::seconds(2);
static constexpr double kMinCachedBurstShare = 0.5;
/// Cached levels and reply times are removed after this time.
static constexpr duration kReplyRetention = std::chrono::seconds(10);

/// Share that a restarted owner grants while some daemons still query the one
/// that took over. Most subjects use about half of their limit.
static constexpr double kRestartedOwnerShare = 0.5;
/// Share that a daemon grants in place of an owner that may still be active:
/// that owner may be partitioned only from the daemons that query this one, and
/// grant their share to others.
static constexpr double kTakeoverShare = 0.25;

static uint64_t HashOf(const endpoint& address) {
  return Hash64(address.ToString());
}

owner_quota_policy::owner_quota_policy(const options& opts)
    : self_({.address = opts.self, .hash = HashOf(opts.self)}),
      owner_(opts.id),
      kind_(opts.kind),
      fallback_(opts.fallback),
      even_policy_({.seed = opts.id}) {
  candidates_.push_back(self_);
}

void owner_quota_policy::SetFleet(time_point now,
                                  const quota_fleet_view& fleet) {
  std::vector<candidate> next;
  // A daemon that shuts down serves requests for some more seconds. If it took
  // itself for an owner, it would grant each limit a second time, beside the
  // owner that all others query.
  const bool is_candidate = !fleet.is_leaving || fleet.alive.empty();
  if (is_candidate) {
    next.push_back(self_);
  }
  for (const endpoint& address : fleet.alive) {
    if (address != self_.address) {
      next.push_back({.address = address, .hash = HashOf(address)});
    }
  }
  RecordFailed(now, next);
  candidates_ = std::move(next);
  const size_t alive_count = candidates_.size() + (is_candidate ? 0 : 1);
  daemon_count_ = std::max(fleet.possibly_active, alive_count);
  convergence_time_ = fleet.convergence_time;
  started_at_ = started_at_.value_or(now);
  alive_shares_.push_back({.from = now,
                           .share = static_cast<double>(alive_count) /
                                    static_cast<double>(daemon_count_)});
  // Keeps the share that was current at the beginning of the convergence time.
  while (alive_shares_.size() > 1 &&
         alive_shares_[1].from <= now - convergence_time_) {
    alive_shares_.erase(alive_shares_.begin());
  }
  even_policy_.SetFleet(now, fleet);
}

void owner_quota_policy::RecordFailed(time_point now,
                                      std::span<const candidate> next) {
  std::unordered_set<uint64_t> alive;
  for (const candidate& item : next) {
    alive.insert(item.hash);
  }
  std::erase_if(recently_failed_, [&](const failed_daemon& item) {
    return now - item.at > convergence_time_ ||
           alive.contains(item.daemon.hash);
  });
  for (const candidate& item : candidates_) {
    if (!alive.contains(item.hash)) {
      recently_failed_.push_back({.daemon = item, .at = now});
    }
  }
}

bool owner_quota_policy::HasTakenOver(time_point now, uint64_t subject) const {
  const uint64_t own_weight = RendezvousWeight(subject, self_.hash);
  return std::any_of(recently_failed_.begin(), recently_failed_.end(),
                     [&](const failed_daemon& item) {
                       return now - item.at <= convergence_time_ &&
                              RendezvousWeight(subject, item.daemon.hash) >
                                  own_weight;
                     });
}

const endpoint& owner_quota_policy::FindOwner(time_point now,
                                              uint64_t subject) const {
  const candidate* best = nullptr;
  uint64_t best_weight = 0;
  for (const candidate& item : candidates_) {
    const uint64_t weight = RendezvousWeight(subject, item.hash);
    if (best != nullptr && weight <= best_weight) {
      continue;
    }
    if (const auto unresponsive = unresponsive_until_.find(item.address);
        unresponsive != unresponsive_until_.end() &&
        now < unresponsive->second) {
      continue;
    }
    best = &item;
    best_weight = weight;
  }
  return best == nullptr ? self_.address : best->address;
}

double owner_quota_policy::MinAliveShare(time_point now) const {
  if (alive_shares_.empty() || daemon_count_ == 1) {
    return 1;
  }
  if (now - *started_at_ < convergence_time_) {
    return alive_shares_.back().share;
  }
  // Shares from the warm-up time are too small: not all daemons had been found.
  const time_point since =
      std::max(now - convergence_time_, *started_at_ + kWarmUpTime);
  double smallest = alive_shares_.back().share;
  for (size_t i = 0; i + 1 < alive_shares_.size(); ++i) {
    if (alive_shares_[i + 1].from > since) {
      smallest = std::min(smallest, alive_shares_[i].share);
    }
  }
  return smallest;
}

double owner_quota_policy::OwnerFactor(time_point now, uint64_t subject) const {
  if (HasTakenOver(now, subject)) {
    return kTakeoverShare;
  }
  const bool is_newly_started =
      started_at_ && now - *started_at_ < convergence_time_;
  const bool has_other_owner =
      owner_.HasOtherOwner(now - convergence_time_, subject);
  return is_newly_started && has_other_owner ? kRestartedOwnerShare : 1;
}

double owner_quota_policy::GrantedShare(time_point now,
                                        uint64_t subject) const {
  if (FindOwner(now, subject) == self_.address) {
    return MinAliveShare(now) * OwnerFactor(now, subject);
  }
  const size_t requesters =
      std::max<size_t>(1, owner_.CountRequesters(now, subject));
  return std::min(1.0, kTakeoverShare * static_cast<double>(requesters) /
                           static_cast<double>(daemon_count_));
}

quota_query owner_quota_policy::MakeQuery(time_point now,
                                          const quota_request& item) const {
  quota_query query{.from = self_.address,
                    .ticket = item.ticket,
                    .kind = kind_,
                    .subject = item.subject,
                    .limit = item.limit,
                    .limit_age = item.limit_age,
                    .weight = item.weight,
                    .digest = item.digest,
                    .max_wait = item.max_wait,
                    .last_level = std::nullopt};
  if (const auto cached = cached_levels_.find(item.subject);
      cached != cached_levels_.end()) {
    query.last_level = quota_level{.owner = cached->second.owner,
                                   .level = cached->second.level,
                                   .age = now - cached->second.at};
  }
  return query;
}

quota_query owner_quota_policy::MakeReport(time_point now,
                                           const quota_request& item,
                                           double weight) const {
  quota_query report = MakeQuery(now, item);
  report.ticket = 0;
  report.weight = weight;
  return report;
}

void owner_quota_policy::CacheLevel(time_point now,
                                    uint64_t subject,
                                    const quota_reply& reply) {
  cached_levels_[subject] = {
      .owner = reply.owner, .level = reply.level, .at = now};
}

void owner_quota_policy::DecideAsOwner(time_point now,
                                       const quota_request& item) {
  const double share = GrantedShare(now, item.subject);
  if (const auto unreported = unreported_.extract(item.subject)) {
    owner_.OnQuery(now, MakeReport(now, item, unreported.mapped()), share);
  }
  const quota_reply reply = owner_.OnQuery(now, MakeQuery(now, item), share);
  CacheLevel(now, item.subject, reply);
  decisions_.push_back({.ticket = item.ticket,
                        .is_admitted = reply.is_admitted,
                        .retry_after = reply.retry_after,
                        .source = quota_source::kSelf,
                        .level = reply.level,
                        .share = reply.share});
}

void owner_quota_policy::DecideWithoutOwner(time_point now,
                                            const quota_request& item) {
  if (fallback_ == quota_fallback::kRefuse) {
    decisions_.push_back({.ticket = item.ticket,
                          .is_admitted = false,
                          .retry_after = kUnresponsiveBackoff,
                          .source = quota_source::kNone});
    return;
  }
  if (const auto found = cached_levels_.find(item.subject);
      found != cached_levels_.end()) {
    cached_level& cached = found->second;
    const bool is_recent = now - cached.at <= kCachedLevelLifetime;
    if (is_recent && cached.level >= item.limit.burst * kMinCachedBurstShare) {
      // Deducted from the cached level, so that it doesn't admit unboundedly
      // many requests.
      cached.level -= item.weight;
      decisions_.push_back({.ticket = item.ticket,
                            .is_admitted = true,
                            .source = quota_source::kCached,
                            .level = cached.level,
                            .age = now - cached.at});
      unreported_[item.subject] += item.weight;
      return;
    }
  }
  even_policy_.Admit(now, item);
  for (const quota_decision& decided : even_policy_.TakeDecisions()) {
    decisions_.push_back(decided);
    if (decided.is_admitted) {
      unreported_[item.subject] += item.weight;
    }
  }
}

void owner_quota_policy::Send(time_point now, pending_query pending) {
  const endpoint& owner = FindOwner(now, pending.item.subject);
  if (owner == self_.address) {
    DecideAsOwner(now, pending.item);
    return;
  }
  pending.owner = owner;
  pending.sent_at = now;
  ++pending.attempts;
  quota_query query = MakeQuery(now, pending.item);
  query.is_final = pending.attempts > 1;
  messages_.push_back({.to = owner, .message = std::move(query)});
  const uint64_t ticket = pending.item.ticket;
  pending_[ticket] = std::move(pending);
}

void owner_quota_policy::Admit(time_point now, const quota_request& item) {
  Send(now, {.item = item, .owner = {}});
}

void owner_quota_policy::Charge(time_point now, const quota_request& item) {
  const endpoint& owner = FindOwner(now, item.subject);
  const quota_query query = MakeReport(now, item, item.weight);
  if (owner == self_.address) {
    owner_.OnQuery(now, query, GrantedShare(now, item.subject));
    return;
  }
  messages_.push_back({.to = owner, .message = query});
}

void owner_quota_policy::ReportUnreported(time_point now,
                                          const quota_request& item,
                                          const endpoint& owner) {
  const auto found = unreported_.find(item.subject);
  if (found == unreported_.end()) {
    return;
  }
  quota_query query = MakeReport(now, item, found->second);
  unreported_.erase(found);
  query.is_final = true;
  messages_.push_back({.to = owner, .message = std::move(query)});
}

void owner_quota_policy::OnQuery(time_point now, const quota_query& query) {
  if (!query.is_final) {
    if (const endpoint& owner = FindOwner(now, query.subject);
        owner != self_.address) {
      quota_query forwarded = query;
      forwarded.is_final = true;
      messages_.push_back({.to = owner, .message = std::move(forwarded)});
      return;
    }
  }
  const quota_reply reply =
      owner_.OnQuery(now, query, GrantedShare(now, query.subject));
  if (query.ticket != 0) {
    messages_.push_back({.to = query.from, .message = reply});
  }
}

void owner_quota_policy::OnReply(time_point now, const quota_reply& reply) {
  const auto found = pending_.find(reply.ticket);
  if (found == pending_.end()) {
    // The reply is late: the request has already been decided.
    return;
  }
  const pending_query pending = std::move(found->second);
  pending_.erase(found);
  last_reply_at_[pending.owner] = now;
  CacheLevel(now, pending.item.subject, reply);
  ReportUnreported(now, pending.item, pending.owner);
  decisions_.push_back({.ticket = reply.ticket,
                        .is_admitted = reply.is_admitted,
                        .retry_after = reply.retry_after,
                        .source = quota_source::kOwner,
                        .level = reply.level,
                        .age = now - pending.sent_at,
                        .share = reply.share});
}

void owner_quota_policy::OnTick(time_point now) {
  owner_.OnTick(now);
  even_policy_.OnTick(now);
  std::erase_if(unresponsive_until_,
                [&](const auto& item) { return now >= item.second; });
  std::erase_if(last_reply_at_, [&](const auto& item) {
    return now - item.second > kReplyRetention;
  });
  std::erase_if(cached_levels_, [&](const auto& item) {
    return now - item.second.at > kReplyRetention;
  });
  std::vector<pending_query> timed_out;
  for (const auto& [ticket, pending] : pending_) {
    if (now - pending.sent_at >= kReplyTimeout) {
      timed_out.push_back(pending);
    }
  }
  for (pending_query& pending : timed_out) {
    pending_.erase(pending.item.ticket);
    // If the owner replied to other queries meanwhile, a single message was
    // lost or late. Skipping the owner for `kUnresponsiveBackoff` would then
    // have two daemons grant the limit.
    if (last_reply_at_[pending.owner] < pending.sent_at) {
      unresponsive_until_[pending.owner] = now + kUnresponsiveBackoff;
    }
    if (pending.attempts < kMaxAttempts) {
      Send(now, std::move(pending));
    } else {
      DecideWithoutOwner(now, pending.item);
    }
  }
}

}  // namespace cuminswitch
