#include "StandIn/fragile_upstream.h"

#include <algorithm>
#include <utility>

namespace cuminswitch {

/// Rejections are counted within this time.
static constexpr duration kRejectionWindow = std::chrono::seconds(1);

void fragile_upstream::SetRejectionLimit(std::optional<uint32_t> limit) {
  limit_ = limit;
  if (!limit) {
    queue_size_ = options_.queue_size;
  }
  rejections_.clear();
}

void fragile_upstream::Start(time_point now) {
  while (!queue_.empty() && running_.size() < options_.slots) {
    running_.push_back(
        {.request = queue_.front(), .ends = now + options_.work});
    queue_.pop_front();
  }
}

void fragile_upstream::Crash(time_point now) {
  ++crash_count_;
  for (const run& item : running_) {
    lost_.push_back(item.request);
  }
  lost_.insert(lost_.end(), queue_.begin(), queue_.end());
  running_.clear();
  queue_.clear();
  rejections_.clear();
  down_until_ = now + options_.downtime;
}

fragile_upstream::arrival fragile_upstream::Arrive(time_point now,
                                                   uint64_t request) {
  if (now < down_until_) {
    return arrival::kDown;
  }
  if (running_.size() + queue_.size() < options_.slots + queue_size_) {
    queue_.push_back(request);
    Start(now);
    return arrival::kAccepted;
  }
  ++rejection_count_;
  rejections_.push_back(now);
  while (now - rejections_.front() > kRejectionWindow) {
    rejections_.pop_front();
  }
  if (limit_ && rejections_.size() > *limit_) {
    Crash(now);
  }
  return arrival::kRejected;
}

void fragile_upstream::Cancel(time_point now, uint64_t request) {
  std::erase(queue_, request);
  std::erase_if(running_,
                [&](const run& item) { return item.request == request; });
  Start(now);
}

std::vector<uint64_t> fragile_upstream::TakeCompleted(time_point now) {
  std::vector<uint64_t> completed;
  while (!running_.empty() && running_.front().ends <= now) {
    completed.push_back(running_.front().request);
    const time_point ended = running_.front().ends;
    running_.pop_front();
    Start(ended);
  }
  return completed;
}

std::vector<uint64_t> fragile_upstream::TakeLost() {
  return std::exchange(lost_, {});
}

std::optional<time_point> fragile_upstream::NextCompletion() const {
  return running_.empty() ? std::nullopt : std::optional(running_.front().ends);
}

}  // namespace cuminswitch
