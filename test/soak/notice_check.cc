#include "soak/notice_check.h"

namespace cuminswitch::soak {

/// What is under way to an upstream may come so long after its notice.
static constexpr std::chrono::milliseconds kUnderWay{500};
static constexpr int kMostInRest = 2;
/// From when a daemon has passed on that an upstream leaves.
static constexpr std::chrono::milliseconds kDrainTime{2'000};

std::optional<std::string> notice_check::OnRestAsked(
    const notice_arrival& item,
    std::chrono::milliseconds rest) {
  ++counted_;
  std::vector<rest_period>& periods = rests_[{item.daemon, item.upstream}];
  std::optional<std::string> wrong;
  for (rest_period& period : periods) {
    if (item.at > period.from + kUnderWay && item.at < period.until &&
        ++period.arrivals > kMostInRest) {
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
  leaving_told_.try_emplace({daemon, upstream}, at);
}

std::optional<std::string> notice_check::OnLeavingArrival(
    const notice_arrival& item) {
  ++counted_;
  const auto told = leaving_told_.find({item.daemon, item.upstream});
  if (told == leaving_told_.end() || item.at < told->second + kDrainTime) {
    return std::nullopt;
  }
  return item.upstream + " leaves and got a request of " +
         item.daemon.ToString();
}

}  // namespace cuminswitch::soak
