#include "soak/limit_check.h"

#include "StandIn/limit_bound.h"

namespace cuminswitch::soak {

/// A daemon is bound so long after it has passed on an answer with the limit.
static constexpr std::chrono::milliseconds kHeed{500};

void limit_check::OnTold(const endpoint& daemon,
                         const std::string& upstream,
                         wall_time at) {
  told_.try_emplace({daemon, upstream}, at);
}

std::optional<std::string> limit_check::OnArrival(const arrival& item) {
  const auto told = told_.find({item.daemon, item.upstream});
  if (told == told_.end() || item.at < told->second + kHeed) {
    return std::nullopt;
  }
  ++counted_;
  counted_arrivals& under = arrivals_[item.upstream];
  if (under.rate != item.rate) {
    // What came under another limit was held to that one.
    under = {.rate = item.rate};
  }
  std::deque<wall_time>& counted = under.at;
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
