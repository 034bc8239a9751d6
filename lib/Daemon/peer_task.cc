#include "cuminswitch/Daemon/peer_task.h"

#include <utility>

#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Wire/frame_error.h"
#include "cuminswitch/Wire/peer_codec.h"

namespace cuminswitch {

peer_task::peer_task(const kernel& services, options opts)
    : services_(services), options_(std::move(opts)) {}

peer_task::~peer_task() = default;

void peer_task::OnStart() {
  transport_ = std::make_unique<peer_transport>(
      base(),
      peer_transport::options{.listen = options_.listen,
                              .max_frame_size = kMaxFrameSize},
      *this);
}

void peer_task::OnStop() {
  transport_.reset();
}

void peer_task::Receive(send_peer message) {
  transport_->Send(message.to,
                   EncodePeerMessage(message.message, options_.credential));
}

bool peer_task::OnFrame(std::span<const uint8_t> frame) {
  try {
    core_event event =
        peer_received{.message = DecodePeerMessage(frame, options_.credential)};
    services_.FindPort<decision_message>(kDecisionService)
        .Post(std::move(event));
    return true;
  } catch (const frame_error&) {
    return false;
  }
}

}  // namespace cuminswitch
