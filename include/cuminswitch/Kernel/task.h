/// \file
/// A message-driven service with a thread of its own.
#ifndef CUMINSWITCH_KERNEL_TASK_H_
#define CUMINSWITCH_KERNEL_TASK_H_

#include <mutex>
#include <utility>
#include <vector>

#include "cuminswitch/Kernel/event_thread.h"
#include "cuminswitch/Kernel/message_port.h"
#include "cuminswitch/Kernel/service.h"

namespace cuminswitch {

/// One thread, one event loop and one mailbox. Any thread may call `Post`;
/// `OnStart`, `OnStop` and `Receive` run in the task's own thread, which owns
/// its sockets and state.
template <class Message>
class task : public service, public message_port<Message> {
 public:
  task()
      : thread_({.on_start = [this] { OnStart(); },
                 .on_wake = [this] { Deliver(); },
                 .on_stop = [this] { OnStop(); }}) {}

  void Start() override { thread_.Start(); }
  void Stop() override { thread_.Stop(); }

  void Post(Message message) override {
    bool was_empty = false;
    {
      const std::lock_guard lock(mutex_);
      was_empty = mailbox_.empty();
      mailbox_.push_back(std::move(message));
    }
    if (was_empty) {
      thread_.Wake();
    }
  }

 protected:
  /// Opens sockets; `Start` rethrows its exceptions.
  virtual void OnStart() = 0;
  virtual void OnStop() = 0;
  virtual void Receive(Message message) = 0;

  event_base* base() const { return thread_.base(); }

 private:
  void Deliver() {
    std::vector<Message> batch;
    {
      const std::lock_guard lock(mutex_);
      batch.swap(mailbox_);
    }
    for (Message& message : batch) {
      Receive(std::move(message));
    }
  }

  std::mutex mutex_;
  std::vector<Message> mailbox_;
  event_thread thread_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_KERNEL_TASK_H_
