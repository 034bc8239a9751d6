#include "cuminswitch/Admission/upstream_limits.h"

#include <algorithm>

namespace cuminswitch {

/// An upstream that names less gets one request in so long all the same:
/// without an answer nobody would learn that its limit has ended.
static constexpr double kLeastRate = 0.1;
/// A limit ends when nothing was heard of it for so long, and for so many times
/// the pause between two of its requests: the upstream may be gone, or nobody
/// asks it for anything.
static constexpr duration kUnrenewedTime = std::chrono::seconds(10);
static constexpr double kUnrenewedRequests = 3;
/// For so long peers are told that a limit has ended; beats reach all within
/// it.
static constexpr duration kEndedTime = std::chrono::seconds(5);
/// Bounds what is told in one message; the rest follows as it changes.
static constexpr size_t kMaxNews = 64;

/// Of the rate, what may be taken at once beyond it: a request, and a quarter
/// of a second's worth, so that what is not asked for in one moment can be used
/// in the next. More would come at once after a pause, to an upstream in need.
static constexpr double kBurstRequests = 1;
static constexpr double kBurstSeconds = 0.25;

quota_limit QuotaOfLimit(double rate) {
  return {.rate = rate, .burst = kBurstRequests + kBurstSeconds * rate};
}

upstream_limits::change upstream_limits::Name(time_point now,
                                              const statement& told,
                                              double rate) {
  const auto [found, is_new] = known_.try_emplace(told.upstream);
  known_limit& known = found->second;
  if (!is_new && told.at <= known.told_at) {
    return change::kNothing;
  }
  known.told_at = told.at;
  known.is_first_hand = told.is_first_hand;
  const bool was_in_force = !is_new && !known.has_ended;
  const double next = std::max(rate, kLeastRate);
  if (was_in_force && known.rate == next) {
    return change::kNothing;
  }
  known.rate = next;
  known.has_ended = false;
  known.changed_at = now;
  return was_in_force ? change::kChanged : change::kAdded;
}

upstream_limits::change upstream_limits::End(time_point now,
                                             const statement& told) {
  const auto found = known_.find(told.upstream);
  if (found == known_.end() || found->second.has_ended ||
      told.at < found->second.told_at) {
    return change::kNothing;
  }
  known_limit& known = found->second;
  known.has_ended = true;
  known.is_first_hand = told.is_first_hand;
  known.told_at = told.at;
  known.changed_at = now;
  return change::kEnded;
}

upstream_limits::change upstream_limits::OnAnswer(time_point now,
                                                  uint64_t upstream,
                                                  time_point sent,
                                                  const limit_notice& notice) {
  switch (notice.kind) {
    case notice_kind::kNamed:
      return Name(now, {.upstream = upstream, .at = now, .is_first_hand = true},
                  notice.rate);
    case notice_kind::kNone:
      return End(now,
                 {.upstream = upstream, .at = sent, .is_first_hand = true});
    case notice_kind::kUnreadable:
      break;
  }
  return change::kNothing;
}

upstream_limits::change upstream_limits::OnUpdate(time_point now,
                                                  const limit_update& news) {
  const statement told{.upstream = news.upstream, .at = now - news.age};
  return news.has_ended ? End(now, told) : Name(now, told, news.rate);
}

upstream_limits::change upstream_limits::Forget(uint64_t upstream) {
  const auto found = known_.find(upstream);
  if (found == known_.end()) {
    return change::kNothing;
  }
  const bool was_in_force = !found->second.has_ended;
  known_.erase(found);
  return was_in_force ? change::kEnded : change::kNothing;
}

std::vector<uint64_t> upstream_limits::TakeExpired(time_point now) {
  std::vector<uint64_t> expired;
  std::erase_if(known_, [&](const auto& item) {
    const auto& [upstream, known] = item;
    const duration age = now - known.told_at;
    if (known.has_ended) {
      return age > kEndedTime;
    }
    const bool is_over =
        age >
        std::max(kUnrenewedTime, FromSeconds(kUnrenewedRequests / known.rate));
    if (is_over) {
      expired.push_back(upstream);
    }
    return is_over;
  });
  return expired;
}

std::optional<double> upstream_limits::Find(uint64_t upstream) const {
  const auto found = known_.find(upstream);
  if (found == known_.end() || found->second.has_ended) {
    return std::nullopt;
  }
  return found->second.rate;
}

duration upstream_limits::Age(time_point now, uint64_t upstream) const {
  const auto found = known_.find(upstream);
  return found == known_.end() ? duration(0) : now - found->second.told_at;
}

std::vector<limit_update> upstream_limits::ListUpdates(time_point now,
                                                       bool passes_on) const {
  std::vector<std::pair<time_point, limit_update>> all;
  for (const auto& [upstream, known] : known_) {
    if (known.is_first_hand || passes_on) {
      all.emplace_back(known.changed_at,
                       limit_update{.upstream = upstream,
                                    .rate = known.rate,
                                    .has_ended = known.has_ended,
                                    .age = now - known.told_at});
    }
  }
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first
                              : a.second.upstream < b.second.upstream;
  });
  std::vector<limit_update> news;
  for (const auto& [at, item] : all) {
    if (news.size() < kMaxNews) {
      news.push_back(item);
    }
  }
  return news;
}

size_t upstream_limits::size() const {
  return static_cast<size_t>(
      std::count_if(known_.begin(), known_.end(),
                    [](const auto& item) { return !item.second.has_ended; }));
}

}  // namespace cuminswitch
