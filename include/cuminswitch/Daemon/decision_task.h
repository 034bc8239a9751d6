/// \file
/// The task that runs the decision core.
#ifndef CUMINSWITCH_DAEMON_DECISION_TASK_H_
#define CUMINSWITCH_DAEMON_DECISION_TASK_H_

#include <chrono>
#include <functional>
#include <memory>

#include "cuminswitch/Core/decision_core.h"
#include "cuminswitch/Daemon/daemon_message.h"
#include "cuminswitch/Kernel/task.h"
#include "cuminswitch/Net/loop_timer.h"

namespace cuminswitch {

class kernel;

/// Passes events and timer ticks, with the current time, to the decision core
/// and sends each resulting action to the task that executes it.
class decision_task : public task<decision_message> {
 public:
  struct options {
    decision_core::options core;
    /// Called on the task's thread when a graceful stop is complete.
    std::function<void()> on_stop_ready;
  };

  decision_task(const kernel& services, options opts);
  ~decision_task() override;

  std::string_view Name() const override { return kDecisionService; }

 protected:
  void OnStart() override;
  void OnStop() override;
  void Receive(decision_message message) override;

 private:
  struct action_sender;

  time_point Now() const;
  void Feed(const core_event& event);
  void OnTimer();

  const kernel& services_;
  options options_;
  std::chrono::steady_clock::time_point start_time_;
  std::unique_ptr<decision_core> core_;
  std::unique_ptr<loop_timer> timer_;
  std::unique_ptr<action_sender> sender_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_DECISION_TASK_H_
