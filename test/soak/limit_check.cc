#include "soak/limit_check.h"

#include "StandIn/limit_bound.h"

namespace cuminswitch::soak {

/// Time from the first forwarded response with the limit until the daemon must
/// obey the limit.
static constexpr std::chrono::milliseconds kLimitReactionTime{500};

void limit_check::OnLimitForwarded(const endpoint& daemon,
                                   const std::string& upstream,
                                   steady_time at) {
  forwarded_.try_emplace({daemon, upstream}, at);
}

std::optional<std::string> limit_check::OnArrival(const arrival& item) {
  const auto forwarded = forwarded_.find({item.daemon, item.upstream});
  if (forwarded == forwarded_.end() ||
      item.at < forwarded->second + kLimitReactionTime) {
    return std::nullopt;
  }
  ++counted_;
  recent_arrivals& recent = arrivals_[item.upstream];
  if (recent.rate != item.rate) {
    // Earlier requests were checked against the previous limit.
    recent = {.rate = item.rate};
  }
  std::deque<steady_time>& counted = recent.at;
  counted.push_back(item.at);
  while (item.at - counted.front() > kLimitWindow) {
    counted.pop_front();
  }
  if (static_cast<double>(counted.size()) <= AllowedByLimit(item.rate)) {
    return std::nullopt;
  }
  return item.upstream + " got " + std::to_string(counted.size()) +
         " requests in 4 s at a limit of " + std::to_string(item.rate);
}

}  // namespace cuminswitch::soak
