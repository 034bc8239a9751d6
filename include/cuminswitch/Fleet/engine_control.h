/// \file
/// Questions and orders to engines.
#ifndef CUMINSWITCH_FLEET_ENGINE_CONTROL_H_
#define CUMINSWITCH_FLEET_ENGINE_CONTROL_H_

#include <functional>
#include <optional>

#include "cuminswitch/Fleet/weights_rollout.h"
#include "cuminswitch/Protocol/ids.h"

namespace cuminswitch {

/// Calls end in one callback each, from the event loop.
class engine_control {
 public:
  virtual ~engine_control() = default;
  /// Asks for the engine's state; nothing when no answer could be had.
  virtual void QueryState(
      const rollout_step& step,
      std::function<void(std::optional<engine_report>)> done) = 0;
  /// Gives the order under the leader's \p fence.
  virtual void SendCommand(const rollout_step& step,
                           revision_number fence,
                           std::function<void(command_result)> done) = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ENGINE_CONTROL_H_
