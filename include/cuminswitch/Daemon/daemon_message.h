/// \file
/// Messages between the tasks of a daemon.
#ifndef CUMINSWITCH_DAEMON_DAEMON_MESSAGE_H_
#define CUMINSWITCH_DAEMON_DAEMON_MESSAGE_H_

#include <cstdint>
#include <memory>
#include <variant>

#include "cuminswitch/Core/core_status.h"
#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Protocol/core_event.h"

namespace cuminswitch {

/// Names under which the tasks look up each other's message ports.
inline constexpr std::string_view kDecisionService = "decision";
inline constexpr std::string_view kGatewayService = "gateway";
inline constexpr std::string_view kPeerService = "peer";
inline constexpr std::string_view kPlatformService = "platform";

/// Requests the decision core's status. The reply carries the same `ticket`.
struct status_query {
  uint64_t ticket = 0;
};

struct status_reply {
  uint64_t ticket = 0;
  std::shared_ptr<const core_status> status;
};

using decision_message = std::variant<core_event, status_query>;

using gateway_message = std::variant<dispatch_attempt,
                                     cancel_attempt,
                                     local_response,
                                     probe_upstream,
                                     configuration_adopted,
                                     members_changed,
                                     status_reply>;

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_DAEMON_MESSAGE_H_
