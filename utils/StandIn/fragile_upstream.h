/// \file
/// Model of an upstream with slots and a queue that crashes when it has to
/// reject too many requests.
#ifndef CUMINSWITCH_UTILS_STANDIN_FRAGILE_UPSTREAM_H_
#define CUMINSWITCH_UTILS_STANDIN_FRAGILE_UPSTREAM_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Executes requests in order of arrival. Has no clock and does no I/O.
class fragile_upstream {
 public:
  struct options {
    uint32_t slots = 6;
    /// Requests that may wait for a slot.
    uint32_t queue_size = 24;
    duration work = std::chrono::milliseconds(60);
    /// How long it accepts nothing after a crash.
    duration downtime = std::chrono::seconds(3);
  };
  /// What happens to a request that arrives.
  enum class arrival : uint8_t { kAccepted, kRejected, kDown };

  explicit fragile_upstream(const options& opts)
      : options_(opts), queue_size_(opts.queue_size) {}

  /// Crashes from now on when it rejects more than \p limit requests within a
  /// second; nothing ends this, and restores the queue.
  void SetRejectionLimit(std::optional<uint32_t> limit);
  const std::optional<uint32_t>& rejection_limit() const { return limit_; }
  void SetQueueSize(uint32_t size) { queue_size_ = size; }

  arrival Arrive(time_point now, uint64_t request);
  /// Removes a request whose caller has left.
  void Cancel(time_point now, uint64_t request);
  /// Returns the requests that were completed up to \p now.
  std::vector<uint64_t> TakeCompleted(time_point now);
  /// Returns the requests that were lost in crashes since the last call.
  std::vector<uint64_t> TakeLost();
  /// Returns when the next request completes; nothing if none is running.
  std::optional<time_point> NextCompletion() const;

  uint32_t crash_count() const { return crash_count_; }
  uint32_t rejection_count() const { return rejection_count_; }
  uint32_t slots() const { return options_.slots; }
  size_t running() const { return running_.size(); }
  size_t waiting() const { return queue_.size(); }

 private:
  struct run {
    uint64_t request = 0;
    time_point ends{};
  };

  void Start(time_point now);
  void Crash(time_point now);

  options options_;
  uint32_t queue_size_;
  std::optional<uint32_t> limit_;
  /// All take equally long, so the first one ends first.
  std::deque<run> running_;
  std::deque<uint64_t> queue_;
  std::deque<time_point> rejections_;
  std::vector<uint64_t> lost_;
  time_point down_until_{};
  uint32_t crash_count_ = 0;
  uint32_t rejection_count_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_STANDIN_FRAGILE_UPSTREAM_H_
