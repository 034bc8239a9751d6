#include "cuminswitch/Daemon/platform_task.h"

#include <utility>

#include "cuminswitch/Kernel/kernel.h"

namespace cuminswitch {

platform_task::platform_task(const kernel& services,
                             const platform_client::options& opts)
    : services_(services), options_(opts) {}

void platform_task::OnStart() {
  client_ = std::make_unique<platform_client>(base(), options_);
}

void platform_task::OnStop() {
  client_.reset();
}

void platform_task::Receive(platform_call message) {
  client_->Call(message, [this](const platform_reply& reply) {
    services_.FindPort<decision_message>(kDecisionService)
        .Post(core_event(reply));
  });
}

}  // namespace cuminswitch
