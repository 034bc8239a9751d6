/// \file
/// Separates policy from I/O. This class makes every decision of a daemon: it
/// maps events to actions. It opens no socket, reads no clock, starts no
/// thread, logs nothing and takes its randomness from a seed, so that many
/// instances can run in one process under a virtual clock.
#ifndef CUMINSWITCH_CORE_DECISION_CORE_H_
#define CUMINSWITCH_CORE_DECISION_CORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cuminswitch/ConfigSync/config_sync.h"
#include "cuminswitch/Core/core_status.h"
#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Core/upstream_prober.h"
#include "cuminswitch/Membership/member_table.h"
#include "cuminswitch/Once/shard_manager.h"
#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Protocol/core_event.h"

namespace cuminswitch {

/// The deterministic decision logic of one daemon.
class decision_core {
 public:
  struct options {
    member self;
    std::vector<endpoint> seeds;
    uint64_t random_seed = 0;
    /// The Unix time at the core's time zero, in seconds.
    uint64_t unix_seconds_at_zero = 0;
    std::string routing_policy = "prefix_cost";
    shard_number shard_count = 16;
    double fleet_writes_per_second = 200;
    std::chrono::seconds key_retention{600};
    double max_upstream_probes_per_second = 25;
    /// How long a stopping daemon still accepts requests after it is no longer
    /// listed in address responses: callers cache a response for this long.
    duration linger = std::chrono::seconds(5);
  };

  explicit decision_core(const options& opts);

  /// Handles one event and returns the actions to execute, in order.
  action_list OnEvent(time_point now, const core_event& event);
  /// The latest time at which the next `tick` is due.
  time_point NextWake() const { return next_wake_; }
  core_status GetStatus() const;
  const member_table& members() const { return members_; }

 private:
  void Handle(time_point now, const request_arrived& event, action_list& out);
  void Handle(time_point now,
              const caller_disconnected& event,
              action_list& out);
  void Handle(time_point now,
              const attempt_first_byte& event,
              action_list& out);
  void Handle(time_point now, const attempt_ended& event, action_list& out);
  void Handle(time_point now, const upstream_report& event, action_list& out);
  void Handle(time_point now, const peer_received& event, action_list& out);
  void Handle(time_point now, const platform_reply& event, action_list& out);
  void Handle(time_point now, const tick& event, action_list& out);
  void Handle(time_point now, const stop_requested& event, action_list& out);

  void HandlePeerMessage(time_point now,
                         const heartbeat& message,
                         action_list& out);
  void HandlePeerMessage(time_point now,
                         const probe_request& message,
                         action_list& out);
  void HandlePeerMessage(time_point now,
                         const probe_reply& message,
                         action_list& out);
  void HandlePeerMessage(time_point now,
                         const configuration_request& message,
                         action_list& out);
  void HandlePeerMessage(time_point now,
                         const configuration_reply& message,
                         action_list& out);
  void HandlePeerMessage(time_point now,
                         const start_request& message,
                         action_list& out);
  void HandlePeerMessage(time_point now,
                         const start_reply& message,
                         action_list& out);
  void HandlePeerMessage(time_point now,
                         const finish_report& message,
                         action_list& out);
  void HandlePeerMessage(time_point now,
                         const release_report& message,
                         action_list& out);

  /// Completes the handling of any event: applies a new configuration and adds
  /// the actions that follow from the event.
  void FinishEvent(time_point now, action_list& out);
  /// Handles messages to this daemon itself directly, instead of sending them.
  void HandleMessagesToSelf(time_point now, action_list& out);
  void ApplyAdoptedConfiguration(time_point now, action_list& out);
  void PollHostList(time_point now, action_list& out);
  void StopIfReady(time_point now, action_list& out);
  uint64_t UnixNow(time_point now) const;

  options options_;
  member_table members_;
  config_sync config_;
  shard_manager shards_;
  upstream_prober prober_;
  request_router router_;
  time_point next_wake_{};
  time_point next_host_list_{};
  uint64_t announced_changes_ = 0;
  generation_number applied_generation_ = 0;
  bool stopping_ = false;
  bool stop_announced_ = false;
  time_point stop_since_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CORE_DECISION_CORE_H_
