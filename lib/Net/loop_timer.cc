#include "cuminswitch/Net/loop_timer.h"

#include <event2/event.h>

#include <memory>
#include <utility>

#include "timeval.h"

namespace cuminswitch {

loop_timer::loop_timer(event_base* base, std::function<void()> on_fire)
    : on_fire_(std::move(on_fire)) {
  const auto fire = [](evutil_socket_t /*fd*/, short /*what*/, void* self) {
    // Copied, since the callback may destroy the timer.
    const std::function<void()> on_fire =
        static_cast<loop_timer*>(self)->on_fire_;
    on_fire();
  };
  event_ = event_new(base, -1, 0, fire, this);
}

loop_timer::~loop_timer() {
  event_free(event_);
}

void loop_timer::Start(std::chrono::microseconds delay) {
  const timeval value = ToTimeval(delay);
  event_add(event_, &value);
}

void loop_timer::Cancel() {
  event_del(event_);
}

void CallLater(event_base* base, std::function<void()> action) {
  const timeval at_once{};
  auto owned = std::make_unique<std::function<void()>>(std::move(action));
  const auto call = [](evutil_socket_t /*fd*/, short /*what*/, void* raw) {
    const std::unique_ptr<std::function<void()>> taken(
        static_cast<std::function<void()>*>(raw));
    (*taken)();
  };
  if (event_base_once(base, -1, EV_TIMEOUT, call, owned.get(), &at_once) == 0) {
    // The event's callback now owns the function.
    static_cast<void>(owned.release());
  }
}

}  // namespace cuminswitch
