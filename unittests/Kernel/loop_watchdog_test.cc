#include "cuminswitch/Kernel/loop_watchdog.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <utility>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

struct base_deleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

/// The first report of one kind.
class first_report {
 public:
  void Set(milliseconds time) {
    std::call_once(is_set_, [&] { value_.set_value(time); });
  }
  std::future<milliseconds> Get() { return value_.get_future(); }

 private:
  std::once_flag is_set_;
  std::promise<milliseconds> value_;
};

class recording_observer : public loop_observer {
 public:
  void OnStalled(milliseconds time) override { stalled.Set(time); }
  void OnRecovered(milliseconds time) override {
    // On a busy host the loop may have stalled before the callback began.
    if (has_returned) {
      recovered.Set(time);
    }
  }
  void OnHung(milliseconds time) override { hung.Set(time); }

  /// Whether the callback that blocks the loop has returned.
  std::atomic<bool> has_returned = false;
  first_report stalled;
  first_report recovered;
  first_report hung;
};

class loop_watchdog_test : public testing::Test {
 protected:
  /// Runs the loop with a callback that returns once \p until is ready, and
  /// until the watchdog reports that the loop has recovered.
  void RunLoopBlockedUntil(std::future<milliseconds> until) {
    blocked_until_ = std::move(until);
    recovered_ = observer_.recovered.Get();
    const timeval at_once{};
    const timeval often{.tv_sec = 0, .tv_usec = 1'000};
    const auto block = [](evutil_socket_t /*fd*/, short /*what*/, void* self) {
      auto* test = static_cast<loop_watchdog_test*>(self);
      test->blocked_until_.wait();
      test->observer_.has_returned = true;
    };
    const auto end = [](evutil_socket_t /*fd*/, short /*what*/, void* raw) {
      auto* self = static_cast<loop_watchdog_test*>(raw);
      if (self->recovered_.wait_for(milliseconds(0)) ==
          std::future_status::ready) {
        event_base_loopbreak(self->base_.get());
      }
    };
    event_base_once(base_.get(), -1, EV_TIMEOUT, block, this, &at_once);
    event* poll = event_new(base_.get(), -1, EV_PERSIST, end, this);
    event_add(poll, &often);
    event_base_dispatch(base_.get());
    event_free(poll);
  }

  const loop_watchdog::options options_{.interval = milliseconds(20),
                                        .stalled_checks = 2,
                                        .hung_checks = 4};
  std::unique_ptr<event_base, base_deleter> base_{event_base_new()};
  recording_observer observer_;
  std::future<milliseconds> blocked_until_;
  std::future<milliseconds> recovered_;
};

TEST_F(loop_watchdog_test, ReportsCallbackThatBlocksTheLoop) {
  const loop_watchdog watchdog(options_, base_.get(), observer_);
  RunLoopBlockedUntil(observer_.stalled.Get());
  EXPECT_GE(recovered_.get(), milliseconds(40));
}

TEST_F(loop_watchdog_test, ReportsCallbackThatDoesNotReturn) {
  const loop_watchdog watchdog(options_, base_.get(), observer_);
  RunLoopBlockedUntil(observer_.hung.Get());
  EXPECT_GE(recovered_.get(), milliseconds(80));
}

TEST_F(loop_watchdog_test, StopsWhileTheLoopDoesNotRun) {
  auto watchdog =
      std::make_unique<loop_watchdog>(options_, base_.get(), observer_);
  EXPECT_EQ(observer_.hung.Get().get(), milliseconds(80));
  watchdog.reset();
}

}  // namespace
}  // namespace cuminswitch
