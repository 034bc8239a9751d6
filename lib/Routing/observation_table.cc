#include "cuminswitch/Routing/observation_table.h"

#include <algorithm>
#include <tuple>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// How long an upstream that refused gets no request of any daemon: about as
/// long as peers take to learn of the refusal.
static constexpr duration kHold = std::chrono::milliseconds(400);
/// Mean time between the trials of two daemons. An upstream that serves again
/// is noticed within this time, which callers hardly feel.
static constexpr duration kTrialInterval = std::chrono::milliseconds(100);
/// Bound on the time until a daemon's own trial. It may be the only one whose
/// requests go there, or be partitioned from its peers.
static constexpr duration kMaxTrialWindow = std::chrono::seconds(5);
/// Age at which an own observation is no longer reported: every peer has had a
/// heartbeat since.
static constexpr duration kReportedAge = std::chrono::milliseconds(600);
/// Age at which a stated load says nothing about the present.
static constexpr duration kLoadLifetime = std::chrono::seconds(2);
/// A peer that cannot reach an upstream has a broken link if others get
/// responses; its reports about it are then ignored for this time.
static constexpr duration kBrokenLinkMemory = std::chrono::seconds(3);
/// Messages are dated by their arrival and so may look this much newer than
/// they are.
static constexpr duration kMessageDelay = std::chrono::milliseconds(50);
/// Age at which a refusal is forgotten: longer than any trial is put off.
static constexpr duration kLifetime = std::chrono::seconds(10);

void observation_table::Record(time_point now,
                               const upstream_observation& seen,
                               observer who) {
  const time_point at = now - seen.age;
  entry& item = entries_[seen.upstream];
  if (who == observer::kSelf) {
    item.own = seen;
    item.own_at = at;
  }
  if (seen.slots != 0 && at >= item.load_at) {
    item.load = seen;
    item.load_at = at;
  }
  if (seen.refusal == upstream_refusal::kNone) {
    RecordResponse(now, seen, who, item);
  } else if (seen.refusal != upstream_refusal::kBusy) {
    RecordRefusal(now, seen, who, item);
  }
}

void observation_table::RecordResponse(time_point now,
                                       const upstream_observation& seen,
                                       observer who,
                                       entry& item) {
  const time_point at = now - seen.age;
  if (at >= item.responded_at) {
    item.responded_at = at;
    item.responded_incarnation = seen.incarnation;
  }
  const bool is_about_refused =
      item.refusal == upstream_refusal::kUnreachable ||
      item.refused_incarnation == seen.incarnation;
  if (item.refusal == upstream_refusal::kNone || !is_about_refused ||
      at <= item.refused_at) {
    return;
  }
  if (item.refusal == upstream_refusal::kUnreachable &&
      at > item.refused_at + kMessageDelay) {
    item.contradicted_at = at;
  }
  AddChange({.upstream = seen.upstream,
             .refusal = item.refusal,
             .has_begun = false,
             .source = who,
             .age = seen.age});
  item.refusal = upstream_refusal::kNone;
}

void observation_table::RecordRefusal(time_point now,
                                      const upstream_observation& seen,
                                      observer who,
                                      entry& item) {
  const time_point at = now - seen.age;
  const bool is_unreachable = seen.refusal == upstream_refusal::kUnreachable;
  const bool has_responded_since =
      at <= item.responded_at &&
      (is_unreachable || item.responded_incarnation == seen.incarnation);
  // Only this daemon's own link counts for it where links differ.
  const bool has_broken_link = who == observer::kPeer && is_unreachable &&
                               item.contradicted_at != time_point() &&
                               at - item.contradicted_at < kBrokenLinkMemory;
  if (at <= item.refused_at || has_responded_since || has_broken_link) {
    return;
  }
  const bool is_known = item.refusal == seen.refusal &&
                        item.refused_incarnation == seen.incarnation;
  item.refusal = seen.refusal;
  item.refused_incarnation = seen.incarnation;
  item.refused_at = at;
  item.try_at = TrialTime(seen, at);
  if (!is_known) {
    AddChange({.upstream = seen.upstream,
               .refusal = seen.refusal,
               .has_begun = true,
               .source = who,
               .age = seen.age});
  }
}

time_point observation_table::TrialTime(const upstream_observation& seen,
                                        time_point at) const {
  // Drawn anew for each refusal, so that no daemon is always the first.
  const auto moment = static_cast<uint64_t>(at.time_since_epoch().count());
  const uint64_t hash =
      CombineHash(CombineHash(options_.seed, seen.upstream), moment);
  const double fraction =
      static_cast<double>(hash) / static_cast<double>(UINT64_MAX);
  const duration window = std::min(
      kMaxTrialWindow, kTrialInterval * static_cast<int64_t>(fleet_size_));
  return at + kHold + FromSeconds(fraction * ToSeconds(window));
}

std::optional<time_point> observation_table::HeldUntil(
    uint64_t upstream,
    uint64_t incarnation) const {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  const entry& item = found->second;
  const bool is_refused = item.refusal == upstream_refusal::kUnreachable ||
                          (item.refusal == upstream_refusal::kMismatch &&
                           item.refused_incarnation == incarnation);
  return is_refused ? std::optional(item.try_at) : std::nullopt;
}

std::optional<upstream_observation> observation_table::FindLoad(
    time_point now,
    uint64_t upstream) const {
  const auto found = entries_.find(upstream);
  if (found == entries_.end() || found->second.load.slots == 0 ||
      now - found->second.load_at > kLoadLifetime) {
    return std::nullopt;
  }
  upstream_observation load = found->second.load;
  load.age = now - found->second.load_at;
  return load;
}

std::vector<upstream_observation> observation_table::ListOwn(
    time_point now) const {
  std::vector<upstream_observation> list;
  for (const auto& [upstream, item] : entries_) {
    const duration age = now - item.own_at;
    if (item.own_at != time_point() && age <= kReportedAge) {
      list.push_back(item.own);
      list.back().age = age;
    }
  }
  const size_t count = std::min(kMaxListed, list.size());
  const auto key = [](const upstream_observation& item) {
    return std::tuple(item.refusal == upstream_refusal::kNone, item.age,
                      item.upstream);
  };
  std::partial_sort(
      list.begin(), list.begin() + static_cast<std::ptrdiff_t>(count),
      list.end(),
      [&](const auto& a, const auto& b) { return key(a) < key(b); });
  list.resize(count);
  return list;
}

void observation_table::Expire(time_point now) {
  std::erase_if(entries_, [&](const auto& pair) {
    const entry& item = pair.second;
    return now - std::max({item.own_at, item.load_at, item.refused_at,
                           item.responded_at}) >
           kLifetime;
  });
}

void observation_table::AddChange(const refusal_change& change) {
  if (changes_.size() < kMaxChanges) {
    changes_.push_back(change);
  }
}

size_t observation_table::CountRefusing() const {
  return static_cast<size_t>(
      std::count_if(entries_.begin(), entries_.end(), [](const auto& pair) {
        return pair.second.refusal != upstream_refusal::kNone;
      }));
}

}  // namespace cuminswitch
