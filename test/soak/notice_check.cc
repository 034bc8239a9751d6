#include "soak/notice_check.h"

#include <algorithm>

namespace cuminswitch::soak {

/// What is under way to an upstream may come so long after its notice.
static constexpr std::chrono::milliseconds kUnderWay{500};
static constexpr int kMostInRest = 2;
/// From when a daemon has passed on that an upstream leaves.
static constexpr std::chrono::milliseconds kDrainTime{2'000};

std::optional<std::string> notice_check::OnBackoffRequested(
    const notice_arrival& item,
    std::chrono::milliseconds rest) {
  ++counted_;
  std::vector<rest_period>& periods = rests_[{item.daemon, item.upstream}];
  std::optional<std::string> wrong;
  for (rest_period& period : periods) {
    if (period.from > item.calm_since && item.at > period.from + kUnderWay &&
        item.at < period.until && ++period.arrivals > kMostInRest) {
      wrong = item.upstream + " got " + std::to_string(period.arrivals) +
              " requests of " + item.daemon.ToString() + " in its rest";
    }
  }
  periods.push_back({.from = item.at, .until = item.at + rest});
  return wrong;
}

void notice_check::OnLeavingTold(const endpoint& daemon,
                                 const std::string& upstream,
                                 wall_time at) {
  leaving_told_[{daemon, upstream}].push_back(at);
}

std::optional<std::string> notice_check::OnLeavingArrival(
    const notice_arrival& item) {
  ++counted_;
  const std::vector<wall_time>& told =
      leaving_told_[{item.daemon, item.upstream}];
  const bool is_bound =
      std::any_of(told.begin(), told.end(), [&](wall_time told_at) {
        return told_at > item.calm_since && item.at >= told_at + kDrainTime;
      });
  if (!is_bound) {
    return std::nullopt;
  }
  return item.upstream + " leaves and got a request of " +
         item.daemon.ToString();
}

}  // namespace cuminswitch::soak
