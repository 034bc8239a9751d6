// Simulates decision cores under a virtual clock: hosts, one platform,
// upstreams and callers, connected by messages that take 1 ms, and the faults
// of a scenario. Checks the guarantees of the system after every event.
#ifndef CUMINSWITCH_TEST_SCENARIO_WORLD_H_
#define CUMINSWITCH_TEST_SCENARIO_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "Scenario/fake_platform.h"
#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Core/decision_core.h"

namespace cuminswitch {

/// Thrown when a guarantee is violated; the message contains the violation and
/// the virtual time.
class guarantee_violation : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// How an upstream treats requests.
enum class upstream_mode : uint8_t {
  kServing,
  /// Refuses connections.
  kDown,
  /// Runs the request and closes the connection without a response.
  kBreaking,
  /// Refuses the request without running it.
  kBusy,
};

struct world_upstream {
  upstream_spec spec;
  upstream_mode mode = upstream_mode::kServing;
  std::string version = "1";
  uint64_t incarnation = 1;
  /// Time from the arrival of a request to its response.
  duration service_time = std::chrono::milliseconds(50);
  /// Announces in its reports that it leaves, and since when.
  bool leaving = false;
  time_point leaving_since{};
  uint64_t runs = 0;
  uint32_t in_flight = 0;
};

/// One request as its caller observes it, and its runs.
struct world_request {
  std::string name;
  std::string host;
  std::string key;
  bool repeatable = true;
  time_point sent{};
  bool ended = false;
  time_point ended_at{};
  outcome result = outcome::kUnknown;
  /// HTTP status; 0 if the connection was lost.
  uint32_t status = 0;
  uint32_t retry_after = 0;
  std::string response;
  /// Number of times that upstreams ran it, and where.
  uint64_t runs = 0;
  std::vector<std::string> upstreams;
};

class world {
 public:
  struct options {
    uint64_t seed = 1;
    shard_number shard_count = 4;
    size_t hosts = 3;
    std::vector<std::string> failure_domains = {"a", "b", "c"};
    std::chrono::seconds key_retention{600};
  };

  explicit world(const options& opts);

  // Hosts.
  void Start(const std::string& host);
  void Kill(const std::string& host);
  void Freeze(const std::string& host);
  void Thaw(const std::string& host);
  void StopGracefully(const std::string& host);
  std::vector<std::string> HostNames() const;
  bool IsRunning(const std::string& host) const;
  bool IsFrozen(const std::string& host) const;
  core_status StatusOf(const std::string& host) const;

  // The network. The platform is addressed as `platform`, like a host.
  /// Drops all messages between the two until `Heal`.
  void Cut(const std::string& a, const std::string& b);
  void Heal(const std::string& a, const std::string& b);

  // The platform.
  void SetOutage(bool down) { platform_down_ = down; }
  void SetPlatformDelay(duration delay) { platform_delay_ = delay; }
  /// Drops the replies to the next \p count writes, which take effect.
  void LoseReplies(int count) { lose_replies_ = count; }
  fake_platform& platform() { return platform_; }

  // Upstreams and the configuration.
  world_upstream& AddUpstream(const upstream_spec& spec);
  world_upstream& Upstream(const std::string& name);
  configuration MakeConfiguration() const;
  void SetModelVersion(const std::string& version) { version_ = version; }

  // Callers.
  struct send_options {
    std::string name;
    std::string host;
    std::string target;
    std::string key;
    std::string body = "order";
    std::string workspace = "kitchen";
    duration time_limit = std::chrono::seconds(10);
    uint64_t key_age_seconds = 0;
    bool first = false;
  };
  void Send(const send_options& opts);
  const world_request& Request(const std::string& name) const;
  uint64_t RunsOfKey(const std::string& key) const;

  // Time.
  /// Advances the virtual clock by \p time and runs all events until then.
  void RunFor(duration time);
  time_point now() const { return now_; }
  /// Checks that every request has ended, and with its own response. Call at
  /// the end of a scenario.
  void CheckEnd() const;
  /// Sets a function that is called for every message that a host sends to
  /// another.
  void SetPeerObserver(std::function<void(const peer_message&)> observer) {
    peer_observer_ = std::move(observer);
  }
  /// Number of times that a host removed a running host, which was not frozen,
  /// from its members.
  uint64_t false_deaths() const { return false_deaths_; }
  uint64_t platform_calls() const { return platform_.call_count(); }

 private:
  struct world_host {
    std::string name;
    std::string failure_domain;
    endpoint peer_address;
    std::unique_ptr<decision_core> core;
    uint64_t incarnation = 0;
    bool frozen = false;
    bool stop_ready = false;
    generation_number generation = 0;
    /// Events that arrived while it was frozen.
    std::vector<core_event> frozen_events;
    /// The members that its core last reported.
    std::set<std::string> reported_members;
    std::set<attempt_id> running;
    std::map<attempt_id, std::string> attempts;
  };
  struct scheduled {
    time_point at;
    uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const scheduled& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  /// Runs \p action after \p delay of virtual time.
  void After(duration delay, std::function<void()> action);
  /// Passes an event to the core and executes the actions that it returns.
  void Feed(world_host& host, const core_event& event);
  /// Passes an event to the host after \p delay, unless it has been restarted
  /// by then and has another incarnation.
  void FeedLater(duration delay,
                 const std::string& host,
                 uint64_t incarnation,
                 core_event event);
  /// Passes a tick to the host every 20 ms.
  void Tick(const std::string& host, uint64_t incarnation);
  bool IsCut(const std::string& a, const std::string& b) const;
  world_host& Host(const std::string& name);
  const world_host& Host(const std::string& name) const;

  void Execute(world_host& host, const core_action& action);
  void Do(world_host& host, const dispatch_attempt& action);
  void Do(world_host& host, const cancel_attempt& action);
  void Do(world_host& host, const local_response& action);
  void Do(world_host& host, const send_peer& action);
  void Do(world_host& host, const platform_call& action);
  void Do(world_host& host, const probe_upstream& action);
  void Do(world_host& host, const configuration_adopted& action);
  void Do(world_host& host, const members_changed& action);
  void Do(world_host& host, const stop_ready& action);

  /// Lets a request arrive at its upstream.
  void Arrive(const std::string& host,
              uint64_t incarnation,
              const dispatch_attempt& action);
  void EndAttempt(const std::string& host,
                  uint64_t incarnation,
                  const attempt_ended& event,
                  const std::string& request);
  void EndRequest(world_request& item,
                  outcome result,
                  uint32_t status,
                  uint32_t retry_after,
                  const std::string& response);
  void RecordRun(world_upstream& upstream, const std::string& request);
  [[noreturn]] void ReportViolation(const std::string& what) const;
  /// Replies to a watch when the value has changed or at \p until.
  void ServeWatch(const std::string& host,
                  uint64_t incarnation,
                  const platform_call& call,
                  time_point until);

  options options_;
  time_point now_{};
  uint64_t next_order_ = 0;
  uint64_t next_incarnation_ = 1000;
  request_id next_request_ = 1;
  std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> queue_;
  std::map<std::string, world_host> hosts_;
  std::map<std::string, world_upstream> upstreams_;
  std::map<std::string, world_request> requests_;
  std::map<request_id, std::string> request_names_;
  std::map<std::string, uint64_t> runs_by_key_;
  std::set<std::pair<std::string, std::string>> cuts_;
  fake_platform platform_;
  bool platform_down_ = false;
  duration platform_delay_ = std::chrono::milliseconds(3);
  int lose_replies_ = 0;
  std::string version_ = "1";
  uint64_t false_deaths_ = 0;
  std::function<void(const peer_message&)> peer_observer_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_TEST_SCENARIO_WORLD_H_
