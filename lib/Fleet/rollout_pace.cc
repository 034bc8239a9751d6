#include "cuminswitch/Fleet/rollout_pace.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "cuminswitch/Fleet/occupancy_source.h"
#include "cuminswitch/Fleet/upstream_directory.h"

namespace cuminswitch {

/// Daemons stop sending requests to superseded weights this long before the
/// bound.
static constexpr duration kUseMargin = std::chrono::milliseconds(800);
/// An engine gets its first requests about this long after daemons learn of it.
static constexpr duration kUnusedAfterStart = std::chrono::milliseconds(400);
/// Time that a change takes until one has been measured.
static constexpr duration kAssumedChangeTime = std::chrono::milliseconds(1500);
static constexpr duration kMinChangeTime = std::chrono::milliseconds(300);
static constexpr duration kMaxChangeTime = std::chrono::seconds(4);
/// Weight of the last measurement in the mean time of a change.
static constexpr int kChangeTimeDivisor = 8;
/// Changes in progress relative to the limit above which each slows down by
/// more than the others gain. Many of them still complete requests.
static constexpr size_t kMaxOverLimit = 2;

std::string_view ToString(change_reason value) {
  switch (value) {
    case change_reason::kPastBound:
      return "past_bound";
    case change_reason::kStarted:
      return "started";
    case change_reason::kInTurn:
      return "in_turn";
  }
  return "in_turn";
}

void rollout_pace::OnUpstreams(time_point now,
                               const upstream_directory& upstreams) {
  if (directory_version_ == upstreams.version()) {
    return;
  }
  const bool is_first = !directory_version_;
  directory_version_ = upstreams.version();
  std::erase_if(runs_, [&](const auto& item) {
    const upstream_ref entry = upstreams.Find(item.first);
    return entry == nullptr || entry->started != item.second.started;
  });
  for (const upstream_ref& entry : upstreams.List()) {
    runs_.try_emplace(entry->id, run{.started = entry->started,
                                     .seen_at = is_first ? time_point() : now});
  }
}

void rollout_pace::OnChanged(duration time) {
  const duration measured = std::clamp(time, kMinChangeTime, kMaxChangeTime);
  const duration before = change_time_.value_or(measured);
  change_time_ = before + (measured - before) / kChangeTimeDivisor;
}

void rollout_pace::Clear() {
  runs_.clear();
  directory_version_.reset();
}

rollout_pace::ranked rollout_pace::Rank(time_point now,
                                        size_t index,
                                        const rollout_candidate& item) const {
  const time_point superseded_at =
      history_.SupersededAt(item.model, item.version).value_or(now);
  ranked result{.index = index,
                .time_left = superseded_at + options_.old_weights_time -
                             kUseMargin - now};
  const auto known = runs_.find(item.entry->id);
  if (result.time_left <= duration(0)) {
    result.reason = change_reason::kPastBound;
  } else if (known != runs_.end() &&
             now - known->second.seen_at <= kUnusedAfterStart) {
    result.reason = change_reason::kStarted;
  }
  if (options_.occupancy != nullptr) {
    result.occupancy =
        options_.occupancy->OccupancyOf(now, item.entry->id).value_or(0);
  }
  return result;
}

size_t rollout_pace::CountForced(std::span<const ranked> candidates) const {
  std::vector<duration> left;
  for (const ranked& item : candidates) {
    if (item.reason == change_reason::kInTurn) {
      left.push_back(item.time_left);
    }
  }
  std::sort(left.begin(), left.end());
  const duration change_time = change_time_.value_or(kAssumedChangeTime);
  size_t forced = 0;
  for (size_t i = 0; i < left.size(); ++i) {
    const size_t rounds = std::max<size_t>(1, left[i] / change_time);
    forced = std::max(forced, (i + rounds) / rounds);
  }
  return forced;
}

size_t rollout_pace::CountSpare(time_point now,
                                const service_state& service) const {
  if (options_.occupancy == nullptr) {
    return service.engines.size();
  }
  double busy = 0;
  size_t known = 0;
  for (const upstream_ref& entry : service.engines) {
    if (const auto value = options_.occupancy->OccupancyOf(now, entry->id)) {
      busy += std::min(1.0, *value);
      ++known;
    }
  }
  if (known == 0) {
    return service.engines.size();
  }
  const double free_share = 1 - busy / static_cast<double>(known);
  return static_cast<size_t>(
      std::floor(free_share * static_cast<double>(service.engines.size())));
}

size_t rollout_pace::InTurnLimit(time_point now,
                                 const service_state& service,
                                 std::span<const ranked> candidates) const {
  const auto unavailable = static_cast<size_t>(std::count_if(
      candidates.begin(), candidates.end(),
      [](const auto& item) { return item.reason != change_reason::kInTurn; }));
  const size_t room = std::min(service.limit, CountSpare(now, service));
  const size_t spared = room > unavailable ? room - unavailable : 0;
  // Beyond the limit, waiting is better: an engine past the bound has fewer
  // requests to complete, and changes at once.
  return std::clamp(CountForced(candidates), std::max(size_t{1}, spared),
                    service.limit);
}

std::vector<rollout_choice> rollout_pace::Choose(
    time_point now,
    const service_state& service,
    std::span<const rollout_candidate> candidates) const {
  std::vector<ranked> order;
  size_t in_progress = 0;
  size_t in_turn = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    ranked item = Rank(now, i, candidates[i]);
    if (const auto& changing = candidates[i].changing) {
      // One whose turn came before its bound completes requests until then.
      item.reason = *changing;
      ++in_progress;
      in_turn += *changing == change_reason::kInTurn ? 1 : 0;
    }
    order.push_back(item);
  }
  const size_t in_turn_limit = InTurnLimit(now, service, order);
  std::erase_if(order, [&](const ranked& item) {
    return !candidates[item.index].is_ready;
  });
  std::stable_sort(order.begin(), order.end(),
                   [](const ranked& a, const ranked& b) {
                     return std::tie(a.reason, a.time_left, a.occupancy) <
                            std::tie(b.reason, b.time_left, b.occupancy);
                   });
  std::vector<rollout_choice> choices;
  for (const ranked& item : order) {
    const bool is_in_turn = item.reason == change_reason::kInTurn;
    if (in_progress >= kMaxOverLimit * service.limit ||
        (is_in_turn && in_turn >= in_turn_limit)) {
      break;
    }
    ++in_progress;
    in_turn += is_in_turn ? 1 : 0;
    choices.push_back({.index = item.index,
                       .reason = item.reason,
                       .concurrent = in_progress,
                       .time_left = item.time_left});
  }
  return choices;
}

}  // namespace cuminswitch
