#include "cuminswitch/Admission/upstream_limits.h"

#include <algorithm>

namespace cuminswitch {

/// An upstream that advertises a rate of less than 0.1 per second still gets
/// this rate: without a response no daemon would learn that the limit has
/// ended.
const upstream_limits::options upstream_limits::kRates = {
    .min_value = 0.1,
    .lifetime_intervals = 3};
/// A limit ends when no response has advertised it for this time. The upstream
/// may have been removed, or no daemon sends it requests.
static constexpr duration kMinLimitLifetime = std::chrono::seconds(10);
/// How long peers are sent the end of a limit; heartbeats reach all of them
/// within this time.
static constexpr duration kEndedRetention = std::chrono::seconds(5);
/// Largest number of entries in a message; the rest follows as it changes.
static constexpr size_t kMaxUpdates = 64;

/// The burst beyond the rate: one request, and the requests of a quarter of a
/// second, so that a rate that is unused for a moment can be used shortly
/// after. A larger burst would reach an overloaded upstream at once after a
/// pause.
static constexpr double kBurstRequests = 1;
static constexpr double kBurstSeconds = 0.25;

quota_limit QuotaOfLimit(double rate) {
  return {.rate = rate, .burst = kBurstRequests + kBurstSeconds * rate};
}

std::string_view ToString(upstream_limits::change what) {
  switch (what) {
    case upstream_limits::change::kNothing:
      break;
    case upstream_limits::change::kAdded:
      return "named";
    case upstream_limits::change::kChanged:
      return "changed";
    case upstream_limits::change::kEnded:
      return "ended";
  }
  return {};
}

upstream_limits::change upstream_limits::ApplyLimit(time_point now,
                                                    const observation& observed,
                                                    double rate) {
  const auto [found, is_new] = limits_.try_emplace(observed.upstream);
  limit_state& limit = found->second;
  if (!is_new && observed.at <= limit.observed_at) {
    return change::kNothing;
  }
  limit.observed_at = observed.at;
  limit.is_local = observed.is_local;
  const bool was_in_force = !is_new && !limit.has_ended;
  const double applied_rate = std::max(rate, options_.min_value);
  if (was_in_force && limit.rate == applied_rate) {
    return change::kNothing;
  }
  limit.rate = applied_rate;
  limit.has_ended = false;
  limit.changed_at = now;
  return was_in_force ? change::kChanged : change::kAdded;
}

upstream_limits::change upstream_limits::EndLimit(time_point now,
                                                  const observation& observed) {
  const auto found = limits_.find(observed.upstream);
  if (found == limits_.end() || found->second.has_ended ||
      observed.at < found->second.observed_at) {
    return change::kNothing;
  }
  limit_state& limit = found->second;
  limit.has_ended = true;
  limit.is_local = observed.is_local;
  limit.observed_at = observed.at;
  limit.changed_at = now;
  return change::kEnded;
}

upstream_limits::change upstream_limits::OnResponse(
    time_point now,
    uint64_t upstream,
    time_point sent,
    const limit_notice& notice) {
  switch (notice.kind) {
    case notice_kind::kValid:
      return ApplyLimit(now,
                        {.upstream = upstream, .at = now, .is_local = true},
                        notice.rate);
    case notice_kind::kNone:
      return EndLimit(now,
                      {.upstream = upstream, .at = sent, .is_local = true});
    case notice_kind::kUnreadable:
      break;
  }
  return change::kNothing;
}

upstream_limits::change upstream_limits::OnUpdate(time_point now,
                                                  const limit_update& update) {
  const observation observed{.upstream = update.upstream,
                             .at = now - update.age};
  return update.has_ended ? EndLimit(now, observed)
                          : ApplyLimit(now, observed, update.rate);
}

upstream_limits::change upstream_limits::Forget(uint64_t upstream) {
  const auto found = limits_.find(upstream);
  if (found == limits_.end()) {
    return change::kNothing;
  }
  const bool was_in_force = !found->second.has_ended;
  limits_.erase(found);
  return was_in_force ? change::kEnded : change::kNothing;
}

std::vector<uint64_t> upstream_limits::TakeExpired(time_point now) {
  std::vector<uint64_t> expired;
  std::erase_if(limits_, [&](const auto& item) {
    const auto& [upstream, limit] = item;
    const duration age = now - limit.observed_at;
    if (limit.has_ended) {
      return age > kEndedRetention;
    }
    const duration intervals =
        options_.lifetime_intervals == 0
            ? duration(0)
            : FromSeconds(options_.lifetime_intervals / limit.rate);
    const bool has_expired = age > std::max(kMinLimitLifetime, intervals);
    if (has_expired) {
      expired.push_back(upstream);
    }
    return has_expired;
  });
  return expired;
}

std::optional<double> upstream_limits::Find(uint64_t upstream) const {
  const auto found = limits_.find(upstream);
  if (found == limits_.end() || found->second.has_ended) {
    return std::nullopt;
  }
  return found->second.rate;
}

duration upstream_limits::Age(time_point now, uint64_t upstream) const {
  const auto found = limits_.find(upstream);
  return found == limits_.end() ? duration(0) : now - found->second.observed_at;
}

std::vector<limit_update> upstream_limits::ListUpdates(time_point now,
                                                       bool relays) const {
  std::vector<std::pair<time_point, limit_update>> all;
  for (const auto& [upstream, limit] : limits_) {
    if (limit.is_local || relays) {
      all.emplace_back(limit.changed_at,
                       limit_update{.upstream = upstream,
                                    .rate = limit.rate,
                                    .has_ended = limit.has_ended,
                                    .age = now - limit.observed_at});
    }
  }
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first
                              : a.second.upstream < b.second.upstream;
  });
  std::vector<limit_update> updates;
  for (const auto& [at, item] : all) {
    if (updates.size() < kMaxUpdates) {
      updates.push_back(item);
    }
  }
  return updates;
}

size_t upstream_limits::size() const {
  return static_cast<size_t>(
      std::count_if(limits_.begin(), limits_.end(),
                    [](const auto& item) { return !item.second.has_ended; }));
}

}  // namespace cuminswitch
