#include "cuminswitch/Daemon/router_daemon.h"

#include <chrono>
#include <memory>
#include <utility>

#include "cuminswitch/Daemon/decision_task.h"
#include "cuminswitch/Daemon/gateway_task.h"
#include "cuminswitch/Daemon/peer_task.h"
#include "cuminswitch/Daemon/platform_task.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

static decision_core::options MakeCoreOptions(const daemon_settings& settings,
                                              uint64_t incarnation,
                                              uint64_t unix_seconds) {
  return {.self = {.host = settings.host,
                   .peer_address = settings.peer_address,
                   .caller_address = settings.caller_address,
                   .failure_domain = settings.failure_domain,
                   .incarnation = incarnation},
          .seeds = settings.seeds,
          .random_seed = CombineHash(Hash64(settings.host), incarnation),
          .unix_seconds_at_zero = unix_seconds,
          .routing_policy = settings.routing_policy,
          .shard_count = static_cast<shard_number>(settings.shard_count),
          .fleet_writes_per_second =
              static_cast<double>(settings.fleet_writes_per_second),
          .key_retention = settings.key_retention,
          .max_upstream_probes_per_second =
              static_cast<double>(settings.max_upstream_probes_per_second),
          .linger = settings.address_time_to_live};
}

router_daemon::router_daemon(const daemon_settings& settings,
                             std::function<void()> on_stop_ready) {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto millis = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
  constexpr uint64_t kMillisPerSecond = 1000;
  // The decision task starts last and stops first, since it posts to all other
  // tasks.
  kernel_.Register(std::make_unique<peer_task>(
      kernel_, peer_task::options{.listen = settings.peer_address,
                                  .credential = settings.peer_credential}));
  kernel_.Register(std::make_unique<platform_task>(
      kernel_, platform_client::options{.address = settings.platform_address}));
  kernel_.Register(std::make_unique<gateway_task>(
      kernel_,
      gateway_task::options{.settings = settings, .incarnation = millis}));
  kernel_.Register(std::make_unique<decision_task>(
      kernel_,
      decision_task::options{
          .core = MakeCoreOptions(settings, millis, millis / kMillisPerSecond),
          .on_stop_ready = std::move(on_stop_ready)}));
}

void router_daemon::Start() {
  kernel_.StartAll();
}

void router_daemon::BeginStop() {
  kernel_.FindPort<decision_message>(kDecisionService)
      .Post(core_event(stop_requested{}));
}

void router_daemon::Stop() {
  kernel_.StopAll();
}

}  // namespace cuminswitch
