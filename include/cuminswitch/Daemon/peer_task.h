/// \file
/// The task that owns the connections to other daemons.
#ifndef CUMINSWITCH_DAEMON_PEER_TASK_H_
#define CUMINSWITCH_DAEMON_PEER_TASK_H_

#include <memory>
#include <string>

#include "cuminswitch/Daemon/daemon_message.h"
#include "cuminswitch/Kernel/task.h"
#include "cuminswitch/Net/peer_transport.h"

namespace cuminswitch {

class kernel;

/// Encodes and sends messages to peers, and decodes received ones and forwards
/// them to the decision task.
class peer_task : public task<send_peer>, public peer_frame_handler {
 public:
  struct options {
    endpoint listen;
    std::string credential;
  };

  peer_task(const kernel& services, options opts);
  ~peer_task() override;

  std::string_view Name() const override { return kPeerService; }

 protected:
  void OnStart() override;
  void OnStop() override;
  void Receive(send_peer message) override;

 private:
  bool OnFrame(std::span<const uint8_t> frame) override;

  const kernel& services_;
  options options_;
  std::unique_ptr<peer_transport> transport_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_PEER_TASK_H_
