/// \file
/// A message-driven service that shares its event loop with others.
#ifndef CUMINSWITCH_KERNEL_LOOP_TASK_H_
#define CUMINSWITCH_KERNEL_LOOP_TASK_H_

#include <event2/event.h>

#include <utility>
#include <vector>

#include "cuminswitch/Kernel/message_port.h"
#include "cuminswitch/Kernel/service.h"

namespace cuminswitch {

/// Like `task`, without a thread of its own: on a host with a fraction of one
/// core a message between threads costs two wake-ups and gains nothing.
/// Messages are delivered from the loop, never from within `Post`. Only the
/// thread of the loop may call `Post`.
template <class Message>
class loop_task : public service, public message_port<Message> {
 public:
  explicit loop_task(event_base* base) : base_(base) {
    const auto on_wake = [](evutil_socket_t /*fd*/, short /*what*/, void* raw) {
      static_cast<loop_task*>(raw)->Deliver();
    };
    wake_event_ = event_new(base, -1, EV_PERSIST, on_wake, this);
  }
  loop_task(const loop_task&) = delete;
  loop_task& operator=(const loop_task&) = delete;
  ~loop_task() override { event_free(wake_event_); }

  void Post(Message message) override {
    mailbox_.push_back(std::move(message));
    event_active(wake_event_, EV_TIMEOUT, 0);
  }

 protected:
  virtual void Receive(Message message) = 0;

  event_base* base() const { return base_; }

 private:
  void Deliver() {
    std::vector<Message> batch;
    batch.swap(mailbox_);
    for (Message& message : batch) {
      Receive(std::move(message));
    }
  }

  event_base* base_;
  event* wake_event_ = nullptr;
  std::vector<Message> mailbox_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_KERNEL_LOOP_TASK_H_
