#include "cuminswitch/Edge/origin_verification.h"

#include <algorithm>
#include <utility>

namespace cuminswitch {

/// Longest wait. Callers abandon a stream that is silent for two seconds.
static constexpr duration kMaxWait = std::chrono::milliseconds(800);
/// Minimum interval between two checks of a daemon, for each daemon.
static constexpr duration kCheckIntervalPerDaemon =
    std::chrono::milliseconds(2);
static constexpr duration kMinCheckInterval = std::chrono::milliseconds(50);

void origin_verification::Add(time_point now, const found_origin& origin) {
  waiting_.push_back({.origin = origin, .since = now});
}

void origin_verification::Remove(request_id request) {
  std::erase_if(waiting_, [request](const waiting& item) {
    return item.origin.request == request;
  });
}

bool origin_verification::BeginCheck(time_point now, size_t fleet_size) {
  if (waiting_.empty() || checking_since_ || now < next_check_) {
    return false;
  }
  checking_since_ = now;
  next_check_ =
      now + std::max(kMinCheckInterval, kCheckIntervalPerDaemon *
                                            static_cast<int64_t>(fleet_size));
  return true;
}

std::vector<origin_verification::verified> origin_verification::OnChecked(
    const items_checked& check) {
  checking_since_.reset();
  std::vector<verified> ended;
  const auto undecided = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const waiting& item) { return item.since > check.called_at; });
  for (auto item = waiting_.begin(); item != undecided; ++item) {
    ended.push_back({.origin = item->origin, .is_complete = check.is_complete});
  }
  waiting_.erase(waiting_.begin(), undecided);
  return ended;
}

std::vector<origin_verification::verified> origin_verification::TakeOverdue(
    time_point now) {
  std::vector<verified> ended;
  const auto in_time = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const waiting& item) { return now - item.since < kMaxWait; });
  for (auto item = waiting_.begin(); item != in_time; ++item) {
    ended.push_back({.origin = item->origin, .is_complete = false});
  }
  waiting_.erase(waiting_.begin(), in_time);
  return ended;
}

}  // namespace cuminswitch
