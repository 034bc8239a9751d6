#include "cuminswitch/Kernel/loop_watchdog.h"

#include <event2/event.h>

namespace cuminswitch {

loop_watchdog::loop_watchdog(const options& opts,
                             event_base* base,
                             loop_observer& observer)
    : options_(opts), observer_(observer) {
  const auto on_beat = [](evutil_socket_t /*fd*/, short /*what*/, void* self) {
    ++static_cast<loop_watchdog*>(self)->beats_;
  };
  beat_event_ = event_new(base, -1, EV_PERSIST, on_beat, this);
  const std::chrono::microseconds period =
      std::chrono::microseconds(options_.interval) / 2;
  const timeval delay{.tv_sec = period.count() / 1'000'000,
                      .tv_usec = period.count() % 1'000'000};
  event_add(beat_event_, &delay);
  thread_ = std::thread([this] { Run(); });
}

loop_watchdog::~loop_watchdog() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  stop_.notify_one();
  thread_.join();
  event_free(beat_event_);
}

void loop_watchdog::Run() {
  uint64_t seen = beats_;
  uint32_t missed = 0;
  std::unique_lock lock(mutex_);
  while (!stop_.wait_for(lock, options_.interval,
                         [this] { return is_stopping_; })) {
    if (const uint64_t beats = beats_; beats != seen) {
      if (missed >= options_.stalled_checks) {
        observer_.OnRecovered(missed * options_.interval);
      }
      seen = beats;
      missed = 0;
      continue;
    }
    ++missed;
    if (missed == options_.stalled_checks) {
      observer_.OnStalled(missed * options_.interval);
    } else if (missed == options_.hung_checks) {
      observer_.OnHung(missed * options_.interval);
    }
  }
}

}  // namespace cuminswitch
