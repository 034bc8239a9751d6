#include "cuminswitch/Daemon/decision_task.h"

#include <utility>

#include "cuminswitch/Kernel/kernel.h"

namespace cuminswitch {

/// Sends each type of action to the task that executes it.
struct decision_task::action_sender {
  message_port<gateway_message>& gateway;
  message_port<send_peer>& peers;
  message_port<platform_call>& platform;
  const std::function<void()>& on_stop_ready;

  void operator()(send_peer&& action) const { peers.Post(std::move(action)); }
  void operator()(platform_call&& action) const {
    platform.Post(std::move(action));
  }
  void operator()(stop_ready&& /*action*/) const { on_stop_ready(); }
  template <class Action>
  void operator()(Action&& action) const {
    gateway.Post(std::forward<Action>(action));
  }
};

decision_task::decision_task(const kernel& services, options opts)
    : services_(services),
      options_(std::move(opts)),
      start_time_(std::chrono::steady_clock::now()) {}

decision_task::~decision_task() = default;

void decision_task::OnStart() {
  core_ = std::make_unique<decision_core>(options_.core);
  sender_ = std::make_unique<action_sender>(action_sender{
      .gateway = services_.FindPort<gateway_message>(kGatewayService),
      .peers = services_.FindPort<send_peer>(kPeerService),
      .platform = services_.FindPort<platform_call>(kPlatformService),
      .on_stop_ready = options_.on_stop_ready});
  timer_ = std::make_unique<loop_timer>(base(), [this] { OnTimer(); });
  timer_->Start(std::chrono::microseconds(0));
}

void decision_task::OnStop() {
  timer_.reset();
}

time_point decision_task::Now() const {
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now() - start_time_));
}

void decision_task::Feed(const core_event& event) {
  for (core_action& action : core_->OnEvent(Now(), event)) {
    std::visit(*sender_, std::move(action));
  }
}

void decision_task::OnTimer() {
  Feed(tick{});
  const duration wait = core_->NextWake() - Now();
  timer_->Start(std::max(wait, duration{0}));
}

void decision_task::Receive(decision_message message) {
  if (const auto* query = std::get_if<status_query>(&message)) {
    auto status = std::make_shared<const core_status>(core_->GetStatus());
    sender_->gateway.Post(
        status_reply{.ticket = query->ticket, .status = std::move(status)});
    return;
  }
  Feed(std::get<core_event>(message));
}

}  // namespace cuminswitch
