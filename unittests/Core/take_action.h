/// \file
/// Helper that extracts actions from a router's output.
#ifndef CUMINSWITCH_UNITTESTS_CORE_TAKE_ACTION_H_
#define CUMINSWITCH_UNITTESTS_CORE_TAKE_ACTION_H_

#include <cstddef>
#include <optional>
#include <variant>

#include "cuminswitch/Protocol/core_action.h"

namespace cuminswitch {

/// Removes and returns the first action of type \p Action; nothing if none.
template <class Action>
std::optional<Action> TakeAction(action_list& actions) {
  for (size_t i = 0; i < actions.size(); ++i) {
    if (auto* action = std::get_if<Action>(&actions[i])) {
      Action result = *action;
      actions.erase(actions.begin() + static_cast<std::ptrdiff_t>(i));
      return result;
    }
  }
  return std::nullopt;
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UNITTESTS_CORE_TAKE_ACTION_H_
