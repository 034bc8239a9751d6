/// \file
/// A thread that runs a libevent loop.
#ifndef CUMINSWITCH_KERNEL_EVENT_THREAD_H_
#define CUMINSWITCH_KERNEL_EVENT_THREAD_H_

#include <atomic>
#include <functional>
#include <thread>

struct event;
struct event_base;

namespace cuminswitch {

/// Runs an event loop in a thread of its own. Any thread can wake it.
class event_thread {
 public:
  struct options {
    /// Runs in the thread before its loop; `Start` rethrows its exceptions.
    std::function<void()> on_start;
    /// Runs in the thread each time it is woken.
    std::function<void()> on_wake;
    /// Runs in the thread after its loop, before the event base is freed.
    std::function<void()> on_stop;
  };

  explicit event_thread(options opts);
  event_thread(const event_thread&) = delete;
  event_thread& operator=(const event_thread&) = delete;
  ~event_thread();

  void Start();
  void Stop();
  /// Schedules a run of `on_wake`. Any thread may call it.
  void Wake();
  event_base* base() const { return base_; }

 private:
  void Run();

  options options_;
  event_base* base_ = nullptr;
  event* wake_event_ = nullptr;
  std::thread thread_;
  std::atomic<bool> stopping_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_KERNEL_EVENT_THREAD_H_
