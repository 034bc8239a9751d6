/// \file
/// Detects an event loop that no longer handles events.
#ifndef CUMINSWITCH_KERNEL_LOOP_WATCHDOG_H_
#define CUMINSWITCH_KERNEL_LOOP_WATCHDOG_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>

struct event;
struct event_base;

namespace cuminswitch {

/// Receives what a `loop_watchdog` detects, in the watchdog's thread. The loop
/// may be anywhere in its code meanwhile.
class loop_observer {
 public:
  virtual ~loop_observer() = default;
  /// The loop has handled no event for \p time.
  virtual void OnStalled(std::chrono::milliseconds time) = 0;
  /// The loop handles events again, after a stall of \p time.
  virtual void OnRecovered(std::chrono::milliseconds time) = 0;
  /// The loop has handled no event for \p time, longer than any callback takes.
  virtual void OnHung(std::chrono::milliseconds time) = 0;
};

/// Checks from a thread of its own, from construction to destruction, that an
/// event loop handles events.
class loop_watchdog {
 public:
  struct options {
    /// The time between two checks.
    std::chrono::milliseconds interval{1'000};
    /// Checks without progress after which the loop counts as stalled, and
    /// after which it counts as hung. Checks are counted rather than time,
    /// since a process that was stopped, or a host that was suspended, made no
    /// checks either.
    uint32_t stalled_checks = 2;
    uint32_t hung_checks = 15;
  };

  loop_watchdog(const options& opts, event_base* base, loop_observer& observer);
  loop_watchdog(const loop_watchdog&) = delete;
  loop_watchdog& operator=(const loop_watchdog&) = delete;
  ~loop_watchdog();

 private:
  void Run();

  options options_;
  loop_observer& observer_;
  event* beat_event_;
  /// Events that the loop has handled for the watchdog.
  std::atomic<uint64_t> beats_ = 0;
  std::mutex mutex_;
  std::condition_variable stop_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_KERNEL_LOOP_WATCHDOG_H_
