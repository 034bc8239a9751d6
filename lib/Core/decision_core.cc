#include "cuminswitch/Core/decision_core.h"

#include <utility>
#include <variant>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

static constexpr duration kTickInterval = std::chrono::milliseconds(20);
/// The host list lags anyway; members find each other by heartbeats.
static constexpr duration kHostListInterval = std::chrono::seconds(10);
/// A stopping daemon waits no longer for the release of its shards: their next
/// owners can take them over without it.
static constexpr duration kShardReleaseTimeout = std::chrono::seconds(3);

decision_core::decision_core(const options& opts)
    : options_(opts),
      members_({.self = opts.self,
                .seeds = opts.seeds,
                .random_seed = CombineHash(opts.random_seed, 1)}),
      config_({.self = opts.self.peer_address,
               .failure_domain = opts.self.failure_domain,
               .random_seed = CombineHash(opts.random_seed, 2)}),
      shards_({.host = opts.self.host,
               .incarnation = opts.self.incarnation,
               .random_seed = CombineHash(opts.random_seed, 3),
               .shard_count = opts.shard_count,
               .fleet_writes_per_second = opts.fleet_writes_per_second,
               .retention = opts.key_retention}),
      prober_({.max_rate = opts.max_upstream_probes_per_second}),
      router_({.self = opts.self,
               .policy = opts.routing_policy,
               .random_seed = CombineHash(opts.random_seed, 4),
               .shard_count = opts.shard_count},
              members_) {}

uint64_t decision_core::UnixNow(time_point now) const {
  return options_.unix_seconds_at_zero +
         static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(
                                   now.time_since_epoch())
                                   .count());
}

action_list decision_core::OnEvent(time_point now, const core_event& event) {
  action_list out;
  std::visit([&](const auto& item) { Handle(now, item, out); }, event);
  FinishEvent(now, out);
  return out;
}

void decision_core::FinishEvent(time_point now, action_list& out) {
  ApplyAdoptedConfiguration(now, out);
  members_.SetShards(shards_.OwnedShards());
  HandleMessagesToSelf(now, out);
  if (members_.change_count() != announced_changes_) {
    announced_changes_ = members_.change_count();
    out.push_back(members_changed{.members = members_.ListMembers()});
  }
  for (const core_action& action : out) {
    if (std::holds_alternative<platform_call>(action)) {
      ++router_.counters().platform_calls;
    } else if (std::holds_alternative<send_peer>(action)) {
      ++router_.counters().peer_messages;
    }
  }
}

void decision_core::ApplyAdoptedConfiguration(time_point now,
                                              action_list& out) {
  if (config_.generation() == applied_generation_) {
    return;
  }
  applied_generation_ = config_.generation();
  members_.SetGeneration(applied_generation_);
  prober_.OnConfiguration(*config_.config());
  router_.OnConfiguration(now, config_.config(), out);
}

void decision_core::HandleMessagesToSelf(time_point now, action_list& out) {
  // A daemon that owns a shard sends start requests to itself; they are handled
  // here and never reach the network.
  for (size_t i = 0; i < out.size();) {
    auto* message = std::get_if<send_peer>(&out[i]);
    if (message == nullptr || message->to != options_.self.peer_address) {
      ++i;
      continue;
    }
    const peer_message own = std::move(message->message);
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
    std::visit([&](const auto& item) { HandlePeerMessage(now, item, out); },
               own);
  }
}

void decision_core::Handle(time_point now,
                           const request_arrived& event,
                           action_list& out) {
  router_.OnRequest(now, event, out);
}

void decision_core::Handle(time_point now,
                           const caller_disconnected& event,
                           action_list& out) {
  router_.OnCallerDisconnected(now, event, out);
}

void decision_core::Handle(time_point now,
                           const attempt_first_byte& event,
                           action_list& /*out*/) {
  router_.OnFirstByte(now, event);
}

void decision_core::Handle(time_point now,
                           const attempt_ended& event,
                           action_list& out) {
  router_.OnAttemptEnded(now, event, out);
}

void decision_core::Handle(time_point now,
                           const upstream_report& event,
                           action_list& out) {
  router_.OnUpstreamReport(now, event, out);
}

void decision_core::Handle(time_point now,
                           const peer_received& event,
                           action_list& out) {
  std::visit([&](const auto& item) { HandlePeerMessage(now, item, out); },
             event.message);
}

void decision_core::Handle(time_point now,
                           const platform_reply& event,
                           action_list& out) {
  router_.SetPlatformReachable(event.status != platform_status::kNoReply);
  switch (event.tag.owner) {
    case call_owner::kConfigurationHead:
    case call_owner::kConfigurationChunk:
      config_.OnPlatformReply(now, event, out);
      return;
    case call_owner::kShard:
      shards_.OnPlatformReply(now, UnixNow(now), event, out);
      return;
    case call_owner::kHostList:
      if (event.status == platform_status::kOk) {
        members_.OnHostList(event.hosts);
      }
      return;
  }
}

void decision_core::Handle(time_point now,
                           const tick& /*event*/,
                           action_list& out) {
  next_wake_ = now + kTickInterval;
  members_.SetUsage(router_.limiter().ListUsage());
  members_.OnTick(now, out);
  config_.OnTick(now, members_, out);
  shards_.OnTick(now, UnixNow(now), members_, out);
  prober_.OnTick(now, out);
  router_.OnTick(now, out);
  PollHostList(now, out);
  StopIfReady(now, out);
}

void decision_core::Handle(time_point now,
                           const stop_requested& /*event*/,
                           action_list& out) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_since_ = now;
  members_.Leave(out);
}

void decision_core::StopIfReady(time_point now, action_list& out) {
  if (!stopping_ || stop_announced_ || now - stop_since_ < options_.linger) {
    return;
  }
  router_.CloseAdmission();
  shards_.ReleaseAll(UnixNow(now), out);
  const bool shards_released = shards_.OwnedShards().empty();
  const bool waited =
      now - stop_since_ >= options_.linger + kShardReleaseTimeout;
  if (router_.IsIdle() && (shards_released || waited)) {
    stop_announced_ = true;
    out.push_back(stop_ready{});
  }
}

void decision_core::PollHostList(time_point now, action_list& out) {
  if (now < next_host_list_) {
    return;
  }
  next_host_list_ = now + kHostListInterval;
  out.push_back(platform_call{.tag = {.owner = call_owner::kHostList},
                              .operation = platform_operation::kListHosts,
                              .key = {},
                              .value = {},
                              .expected = 0});
}

void decision_core::HandlePeerMessage(time_point now,
                                      const heartbeat& message,
                                      action_list& out) {
  members_.OnHeartbeat(now, message, out);
  router_.limiter().OnPeerUsage(now, message.sender.host, message.usage);
  config_.OnPeerGeneration(now, message.generation, message.sender.peer_address,
                           out);
}

void decision_core::HandlePeerMessage(time_point /*now*/,
                                      const probe_request& message,
                                      action_list& out) {
  members_.OnProbeRequest(message, out);
}

void decision_core::HandlePeerMessage(time_point now,
                                      const probe_reply& message,
                                      action_list& /*out*/) {
  members_.OnProbeReply(now, message);
}

void decision_core::HandlePeerMessage(time_point /*now*/,
                                      const configuration_request& message,
                                      action_list& out) {
  config_.OnRequest(message, out);
}

void decision_core::HandlePeerMessage(time_point now,
                                      const configuration_reply& message,
                                      action_list& out) {
  config_.OnReply(now, message, out);
  ApplyAdoptedConfiguration(now, out);
}

void decision_core::HandlePeerMessage(time_point now,
                                      const start_request& message,
                                      action_list& out) {
  shards_.OnStart(now, UnixNow(now), message, out);
}

void decision_core::HandlePeerMessage(time_point now,
                                      const start_reply& message,
                                      action_list& out) {
  router_.OnStartReply(now, message, out);
}

void decision_core::HandlePeerMessage(time_point /*now*/,
                                      const finish_report& message,
                                      action_list& /*out*/) {
  shards_.OnFinish(message);
}

void decision_core::HandlePeerMessage(time_point /*now*/,
                                      const release_report& message,
                                      action_list& /*out*/) {
  shards_.OnRelease(message);
}

core_status decision_core::GetStatus() const {
  core_status status;
  router_.FillStatus(status);
  status.generation = config_.generation();
  status.members = members_.ListMembers();
  status.shards = shards_.OwnedShards();
  status.stopping = stopping_;
  return status;
}

}  // namespace cuminswitch
