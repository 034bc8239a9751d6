#include "cuminswitch/Kernel/event_thread.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <exception>
#include <future>
#include <stdexcept>
#include <utility>

namespace cuminswitch {

static void EnableThreads() {
  static const int result = evthread_use_pthreads();
  if (result != 0) {
    throw std::runtime_error("libevent has no thread support");
  }
}

event_thread::event_thread(options opts) : options_(std::move(opts)) {
  EnableThreads();
  base_ = event_base_new();
  if (base_ == nullptr) {
    throw std::runtime_error("cannot create an event loop");
  }
  const auto on_wake = [](evutil_socket_t /*fd*/, short /*what*/, void* self) {
    static_cast<event_thread*>(self)->options_.on_wake();
  };
  wake_event_ = event_new(base_, -1, EV_PERSIST, on_wake, this);
}

event_thread::~event_thread() {
  Stop();
  event_free(wake_event_);
  event_base_free(base_);
}

void event_thread::Start() {
  std::promise<void> started;
  std::future<void> result = started.get_future();
  thread_ = std::thread([this, &started] {
    try {
      options_.on_start();
    } catch (...) {
      started.set_exception(std::current_exception());
      return;
    }
    started.set_value();
    Run();
  });
  try {
    result.get();
  } catch (...) {
    thread_.join();
    throw;
  }
}

void event_thread::Run() {
  // `Stop` may be called before the loop starts. libevent then discards the
  // loop break, and only the flag ends the loop.
  while (!stopping_) {
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
  }
  options_.on_stop();
}

void event_thread::Stop() {
  if (!thread_.joinable()) {
    return;
  }
  stopping_ = true;
  event_base_loopbreak(base_);
  Wake();
  thread_.join();
}

void event_thread::Wake() {
  event_active(wake_event_, EV_READ, 0);
}

}  // namespace cuminswitch
