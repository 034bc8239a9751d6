/// \file
/// Interface for querying inference engines and sending them commands.
#ifndef CUMINSWITCH_FLEET_ENGINE_CONTROL_H_
#define CUMINSWITCH_FLEET_ENGINE_CONTROL_H_

#include <functional>
#include <optional>

#include "cuminswitch/Fleet/weights_rollout.h"
#include "cuminswitch/Protocol/ids.h"

namespace cuminswitch {

/// Each call invokes its callback exactly once, from the event loop.
class engine_control {
 public:
  virtual ~engine_control() = default;
  /// Queries the engine's state. `done` gets an empty report if the engine did
  /// not respond.
  virtual void QueryState(
      const rollout_step& step,
      std::function<void(std::optional<engine_report>)> done) = 0;
  /// Sends the command in \p step with the leader's fencing token \p fence.
  virtual void SendCommand(const rollout_step& step,
                           revision_number fence,
                           std::function<void(command_result)> done) = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ENGINE_CONTROL_H_
