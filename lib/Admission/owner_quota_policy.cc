#include "cuminswitch/Admission/owner_quota_policy.h"

#include <algorithm>
#include <utility>

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

owner_quota_policy::owner_quota_policy(const options& opts)
    : owners_(opts.self),
      owner_(opts.id),
      kind_(opts.kind),
      fallback_(opts.fallback),
      even_policy_({.seed = opts.id}) {}

void owner_quota_policy::SetFleet(time_point now,
                                  const quota_fleet_view& fleet) {
  owners_.SetFleet(now, fleet);
  even_policy_.SetFleet(now, fleet);
}

double owner_quota_policy::OwnerFactor(time_point now, uint64_t subject) const {
  if (owners_.HasTakenOver(now, subject)) {
    return kTakeoverShare;
  }
  const duration convergence_time = owners_.convergence_time();
  const bool is_newly_started = owners_.HasStartedWithin(now, convergence_time);
  const bool has_other_owner =
      owner_.HasOtherOwner(now - convergence_time, subject);
  return is_newly_started && has_other_owner ? kRestartedOwnerShare : 1;
}

double owner_quota_policy::GrantedShare(time_point now,
                                        uint64_t subject) const {
  if (owners_.FindOwner(now, subject) == owners_.self()) {
    return owners_.MinAliveShare(now) * OwnerFactor(now, subject);
  }
  const size_t requesters =
      std::max<size_t>(1, owner_.CountRequesters(now, subject));
  return std::min(1.0, kTakeoverShare * static_cast<double>(requesters) /
                           static_cast<double>(owners_.daemon_count()));
}

quota_query owner_quota_policy::MakeQuery(time_point now,
                                          const quota_request& item) const {
  quota_query query{.from = owners_.self(),
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
  const endpoint& owner = owners_.FindOwner(now, pending.item.subject);
  if (owner == owners_.self()) {
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
  const endpoint& owner = owners_.FindOwner(now, item.subject);
  const quota_query query = MakeReport(now, item, item.weight);
  if (owner == owners_.self()) {
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
    if (const endpoint& owner = owners_.FindOwner(now, query.subject);
        owner != owners_.self()) {
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
      owners_.SkipUntil(pending.owner, now + kUnresponsiveBackoff);
    }
    if (pending.attempts < kMaxAttempts) {
      Send(now, std::move(pending));
    } else {
      DecideWithoutOwner(now, pending.item);
    }
  }
}

}  // namespace cuminswitch
