/// \file
/// A timer on an event loop.
#ifndef CUMINSWITCH_NET_LOOP_TIMER_H_
#define CUMINSWITCH_NET_LOOP_TIMER_H_

#include <chrono>
#include <functional>

struct event;
struct event_base;

namespace cuminswitch {

/// One-shot timer: calls back once after each `Start`. Destroying it cancels
/// it.
class loop_timer {
 public:
  loop_timer(event_base* base, std::function<void()> on_fire);
  loop_timer(const loop_timer&) = delete;
  loop_timer& operator=(const loop_timer&) = delete;
  ~loop_timer();

  /// (Re)starts the timer.
  void Start(std::chrono::microseconds delay);
  void Cancel();

 private:
  std::function<void()> on_fire_;
  event* event_ = nullptr;
};

/// Calls \p action from the event loop after the current callback has returned.
/// Used where a library must not be re-entered from its own callback.
void CallLater(event_base* base, std::function<void()> action);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_LOOP_TIMER_H_
