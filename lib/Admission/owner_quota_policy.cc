#include "cuminswitch/Admission/owner_quota_policy.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// An owner that has not answered by then is asked no more. A round trip takes
/// 1 to 3 ms; a host whose share of a core is used up stands for the rest of a
/// tenth of a second.
static constexpr duration kAnswerTime = std::chrono::milliseconds(120);
/// Owners asked about one request.
static constexpr uint32_t kMaxAttempts = 2;
/// An owner that was silent is passed over for so long; by then its beats tell
/// whether it lives.
static constexpr duration kSilentTime = std::chrono::milliseconds(1'000);
/// What an owner told counts for so long where none answers, and only if this
/// much of the burst was left: a cut is noticed within this time, and a
/// subject that is over its limit never has so much.
static constexpr duration kBeliefTime = std::chrono::seconds(2);
static constexpr double kBelievedPart = 0.5;
/// After so long, what an owner told says nothing.
static constexpr duration kToldTime = std::chrono::seconds(10);

/// What an owner that has just started gives out while some still ask the one
/// that stood in for it. Most subjects use about half of their limit.
static constexpr double kFirstPart = 0.5;
/// What one gives out that is asked in place of the owner while it still takes
/// that one to live: it may be cut off only from those that ask, and give out
/// their part to others.
static constexpr double kStandInPart = 0.25;

static uint64_t HashOf(const endpoint& address) {
  return Hash64(address.ToString());
}

owner_quota_policy::owner_quota_policy(const options& opts)
    : self_({.address = opts.self, .hash = HashOf(opts.self)}),
      owner_(opts.id),
      kind_(opts.kind),
      fallback_(opts.fallback),
      own_part_({.seed = opts.id}) {
  candidates_.push_back(self_);
}

void owner_quota_policy::SetFleet(time_point now,
                                  const quota_fleet_view& fleet) {
  std::vector<candidate> next;
  // A daemon that stops serves on for seconds. As an owner in its own eyes it
  // would give out each limit beside the one whom all others ask.
  const bool is_candidate = !fleet.is_leaving || fleet.alive.empty();
  if (is_candidate) {
    next.push_back(self_);
  }
  for (const endpoint& address : fleet.alive) {
    if (address != self_.address) {
      next.push_back({.address = address, .hash = HashOf(address)});
    }
  }
  NoteLost(now, next);
  candidates_ = std::move(next);
  const size_t living = candidates_.size() + (is_candidate ? 0 : 1);
  known_ = std::max(fleet.known, living);
  notice_time_ = fleet.convergence_time;
  started_at_ = started_at_.value_or(now);
  seen_.push_back(
      {.from = now,
       .part = static_cast<double>(living) / static_cast<double>(known_)});
  // The last one that was in force at the time from which on they count.
  while (seen_.size() > 1 && seen_[1].from <= now - notice_time_) {
    seen_.erase(seen_.begin());
  }
  own_part_.SetFleet(now, fleet);
}

void owner_quota_policy::NoteLost(time_point now,
                                  std::span<const candidate> next) {
  std::unordered_set<uint64_t> living;
  for (const candidate& item : next) {
    living.insert(item.hash);
  }
  std::erase_if(lost_, [&](const lost_daemon& item) {
    return now - item.at > notice_time_ || living.contains(item.who.hash);
  });
  for (const candidate& item : candidates_) {
    if (!living.contains(item.hash)) {
      lost_.push_back({.who = item, .at = now});
    }
  }
}

bool owner_quota_policy::StandsIn(time_point now, uint64_t subject) const {
  const uint64_t own = RendezvousWeight(subject, self_.hash);
  return std::any_of(lost_.begin(), lost_.end(), [&](const lost_daemon& item) {
    return now - item.at <= notice_time_ &&
           RendezvousWeight(subject, item.who.hash) > own;
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
    if (const auto silent = silent_until_.find(item.address);
        silent != silent_until_.end() && now < silent->second) {
      continue;
    }
    best = &item;
    best_weight = weight;
  }
  return best == nullptr ? self_.address : best->address;
}

double owner_quota_policy::SeenPart(time_point now) const {
  if (seen_.empty() || known_ == 1) {
    return 1;
  }
  if (now - *started_at_ < notice_time_) {
    return seen_.back().part;
  }
  // What it saw while it still gathered who there is says nothing.
  const time_point since =
      std::max(now - notice_time_, *started_at_ + kWarmUpTime);
  double least = seen_.back().part;
  for (size_t i = 0; i + 1 < seen_.size(); ++i) {
    if (seen_[i + 1].from > since) {
      least = std::min(least, seen_[i].part);
    }
  }
  return least;
}

double owner_quota_policy::PartAsOwner(time_point now, uint64_t subject) const {
  if (StandsIn(now, subject)) {
    return kStandInPart;
  }
  const bool is_new = started_at_ && now - *started_at_ < notice_time_;
  const bool has_other = owner_.HasOther(now - notice_time_, subject);
  return is_new && has_other ? kFirstPart : 1;
}

double owner_quota_policy::Share(time_point now, uint64_t subject) const {
  if (FindOwner(now, subject) == self_.address) {
    return SeenPart(now) * PartAsOwner(now, subject);
  }
  const size_t askers = std::max<size_t>(1, owner_.CountAskers(now, subject));
  return std::min(1.0, kStandInPart * static_cast<double>(askers) /
                           static_cast<double>(known_));
}

quota_query owner_quota_policy::MakeAsk(time_point now,
                                        const quota_request& item) const {
  quota_query ask{.from = self_.address,
                  .ticket = item.ticket,
                  .kind = kind_,
                  .subject = item.subject,
                  .limit = item.limit,
                  .limit_age = item.limit_age,
                  .weight = item.weight,
                  .digest = item.digest,
                  .max_wait = item.max_wait,
                  .last_level = std::nullopt};
  if (const auto told = told_.find(item.subject); told != told_.end()) {
    ask.last_level = quota_level{.owner = told->second.owner,
                                 .level = told->second.level,
                                 .age = now - told->second.at};
  }
  return ask;
}

quota_query owner_quota_policy::MakeReport(time_point now,
                                           const quota_request& item,
                                           double weight) const {
  quota_query report = MakeAsk(now, item);
  report.ticket = 0;
  report.weight = weight;
  return report;
}

void owner_quota_policy::Note(time_point now,
                              uint64_t subject,
                              const quota_reply& verdict) {
  told_[subject] = {.owner = verdict.owner, .level = verdict.level, .at = now};
}

void owner_quota_policy::DecideHere(time_point now, const quota_request& item) {
  const double share = Share(now, item.subject);
  if (const auto taken = unreported_.extract(item.subject)) {
    owner_.OnQuery(now, MakeReport(now, item, taken.mapped()), share);
  }
  const quota_reply verdict = owner_.OnQuery(now, MakeAsk(now, item), share);
  Note(now, item.subject, verdict);
  decisions_.push_back({.ticket = item.ticket,
                        .is_admitted = verdict.is_admitted,
                        .retry_after = verdict.retry_after,
                        .source = quota_source::kSelf,
                        .level = verdict.level,
                        .share = verdict.share});
}

void owner_quota_policy::DecideAlone(time_point now,
                                     const quota_request& item) {
  if (fallback_ == quota_fallback::kRefuse) {
    decisions_.push_back({.ticket = item.ticket,
                          .is_admitted = false,
                          .retry_after = kSilentTime,
                          .source = quota_source::kNone});
    return;
  }
  if (const auto found = told_.find(item.subject); found != told_.end()) {
    told_level& told = found->second;
    const bool is_recent = now - told.at <= kBeliefTime;
    if (is_recent && told.level >= item.limit.burst * kBelievedPart) {
      // Less is left by now, so that not all that come go by it.
      told.level -= item.weight;
      decisions_.push_back({.ticket = item.ticket,
                            .is_admitted = true,
                            .source = quota_source::kCached,
                            .level = told.level,
                            .age = now - told.at});
      unreported_[item.subject] += item.weight;
      return;
    }
  }
  own_part_.Admit(now, item);
  for (const quota_decision& decided : own_part_.TakeDecisions()) {
    decisions_.push_back(decided);
    if (decided.is_admitted) {
      unreported_[item.subject] += item.weight;
    }
  }
}

void owner_quota_policy::Send(time_point now, pending asked) {
  const endpoint& owner = FindOwner(now, asked.item.subject);
  if (owner == self_.address) {
    DecideHere(now, asked.item);
    return;
  }
  asked.asked = owner;
  asked.asked_at = now;
  ++asked.attempts;
  quota_query ask = MakeAsk(now, asked.item);
  ask.is_final = asked.attempts > 1;
  messages_.push_back({.to = owner, .message = std::move(ask)});
  const uint64_t ticket = asked.item.ticket;
  pending_[ticket] = std::move(asked);
}

void owner_quota_policy::Admit(time_point now, const quota_request& item) {
  Send(now, {.item = item, .asked = {}});
}

void owner_quota_policy::Charge(time_point now, const quota_request& item) {
  const endpoint& owner = FindOwner(now, item.subject);
  const quota_query ask = MakeReport(now, item, item.weight);
  if (owner == self_.address) {
    owner_.OnQuery(now, ask, Share(now, item.subject));
    return;
  }
  messages_.push_back({.to = owner, .message = ask});
}

void owner_quota_policy::ReportTaken(time_point now,
                                     const quota_request& item,
                                     const endpoint& owner) {
  const auto found = unreported_.find(item.subject);
  if (found == unreported_.end()) {
    return;
  }
  quota_query ask = MakeReport(now, item, found->second);
  unreported_.erase(found);
  ask.is_final = true;
  messages_.push_back({.to = owner, .message = std::move(ask)});
}

void owner_quota_policy::OnQuery(time_point now, const quota_query& ask) {
  if (!ask.is_final) {
    if (const endpoint& owner = FindOwner(now, ask.subject);
        owner != self_.address) {
      quota_query handed_on = ask;
      handed_on.is_final = true;
      messages_.push_back({.to = owner, .message = std::move(handed_on)});
      return;
    }
  }
  const quota_reply verdict = owner_.OnQuery(now, ask, Share(now, ask.subject));
  if (ask.ticket != 0) {
    messages_.push_back({.to = ask.from, .message = verdict});
  }
}

void owner_quota_policy::OnReply(time_point now, const quota_reply& verdict) {
  const auto found = pending_.find(verdict.ticket);
  if (found == pending_.end()) {
    // Its request was decided without it.
    return;
  }
  const pending asked = std::move(found->second);
  pending_.erase(found);
  heard_at_[asked.asked] = now;
  Note(now, asked.item.subject, verdict);
  ReportTaken(now, asked.item, asked.asked);
  decisions_.push_back({.ticket = verdict.ticket,
                        .is_admitted = verdict.is_admitted,
                        .retry_after = verdict.retry_after,
                        .source = quota_source::kOwner,
                        .level = verdict.level,
                        .age = now - asked.asked_at,
                        .share = verdict.share});
}

void owner_quota_policy::OnTick(time_point now) {
  owner_.OnTick(now);
  own_part_.OnTick(now);
  std::erase_if(silent_until_,
                [&](const auto& item) { return now >= item.second; });
  std::erase_if(heard_at_, [&](const auto& item) {
    return now - item.second > kToldTime;
  });
  std::erase_if(told_, [&](const auto& item) {
    return now - item.second.at > kToldTime;
  });
  std::vector<pending> late;
  for (const auto& [ticket, asked] : pending_) {
    if (now - asked.asked_at >= kAnswerTime) {
      late.push_back(asked);
    }
  }
  for (pending& asked : late) {
    pending_.erase(asked.item.ticket);
    // Where it answered others meanwhile, one message was lost or late. To ask
    // another for a second would have two give out the limit.
    if (heard_at_[asked.asked] < asked.asked_at) {
      silent_until_[asked.asked] = now + kSilentTime;
    }
    if (asked.attempts < kMaxAttempts) {
      Send(now, std::move(asked));
    } else {
      DecideAlone(now, asked.item);
    }
  }
}

}  // namespace cuminswitch
