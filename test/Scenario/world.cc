#include "Scenario/world.h"

#include <algorithm>
#include <utility>

#include "cuminswitch/Support/digest.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Delay of each message between hosts, upstreams and callers.
static constexpr duration kMessageDelay = std::chrono::milliseconds(1);
/// Time after which a host gives up a call to the platform.
static constexpr duration kPlatformTimeout = std::chrono::milliseconds(1500);
static constexpr duration kWatchTimeout = std::chrono::seconds(20);
static constexpr duration kWatchPollInterval = std::chrono::milliseconds(10);
static constexpr uint64_t kUnixSecondsAtZero = 1'800'000'000;
/// Time after its announcement during which a leaving upstream may still get
/// requests. The guarantee is "a few seconds".
static constexpr duration kLeavingGrace = std::chrono::seconds(3);
static constexpr const char* kPlatformName = "platform";
static constexpr uint32_t kOk = 200;
/// The key was used for another request.
static constexpr uint32_t kUnprocessable = 422;

world::world(const options& opts) : options_(opts) {
  for (size_t i = 0; i < opts.hosts; ++i) {
    const std::string name = "h" + std::to_string(i + 1);
    hosts_[name] = {
        .name = name,
        .failure_domain = opts.failure_domains[i % opts.failure_domains.size()],
        .peer_address = {.address = "10.0.0." + std::to_string(i + 1),
                         .port = 1}};
  }
}

void world::ReportViolation(const std::string& what) const {
  throw guarantee_violation("at " +
                            std::to_string(ToSeconds(now_.time_since_epoch())) +
                            " s: " + what);
}

world::world_host& world::Host(const std::string& name) {
  const auto found = hosts_.find(name);
  if (found == hosts_.end()) {
    throw std::out_of_range("no host is named " + name);
  }
  return found->second;
}

const world::world_host& world::Host(const std::string& name) const {
  return const_cast<world*>(this)->Host(name);
}

std::vector<std::string> world::HostNames() const {
  std::vector<std::string> names;
  for (const auto& [name, host] : hosts_) {
    names.push_back(name);
  }
  return names;
}

bool world::IsRunning(const std::string& host) const {
  return Host(host).core != nullptr;
}

bool world::IsFrozen(const std::string& host) const {
  return Host(host).frozen;
}

core_status world::StatusOf(const std::string& host) const {
  const world_host& item = Host(host);
  return item.core == nullptr ? core_status() : item.core->GetStatus();
}

void world::After(duration delay, std::function<void()> action) {
  queue_.push({.at = now_ + delay,
               .order = next_order_++,
               .action = std::move(action)});
}

void world::RunFor(duration time) {
  const time_point end = now_ + time;
  while (!queue_.empty() && queue_.top().at <= end) {
    const scheduled next = queue_.top();
    queue_.pop();
    now_ = next.at;
    next.action();
  }
  now_ = end;
}

void world::Start(const std::string& name) {
  Kill(name);
  world_host& host = Host(name);
  host.incarnation = next_incarnation_++;
  host.frozen = false;
  host.stop_ready = false;
  host.generation = 0;
  host.frozen_events.clear();
  host.reported_members.clear();
  host.running.clear();
  std::vector<endpoint> seeds;
  for (const auto& [other, item] : hosts_) {
    seeds.push_back(item.peer_address);
  }
  host.core = std::make_unique<decision_core>(decision_core::options{
      .self = {.host = name,
               .peer_address = host.peer_address,
               .caller_address = host.peer_address,
               .failure_domain = host.failure_domain,
               .incarnation = host.incarnation},
      .seeds = seeds,
      .random_seed = CombineHash(options_.seed, host.incarnation),
      .unix_seconds_at_zero = kUnixSecondsAtZero,
      .shard_count = options_.shard_count,
      .key_retention = options_.key_retention});
  Tick(name, host.incarnation);
}

void world::Tick(const std::string& name, uint64_t incarnation) {
  world_host& host = Host(name);
  if (host.core == nullptr || host.incarnation != incarnation) {
    return;
  }
  if (!host.frozen) {
    Feed(host, tick{});
  }
  After(std::chrono::milliseconds(20),
        [this, name, incarnation] { Tick(name, incarnation); });
}

void world::Kill(const std::string& name) {
  world_host& host = Host(name);
  host.core.reset();
  host.frozen = false;
  // Its callers only see a lost connection, so their requests end as unknown.
  for (auto& [request, item] : requests_) {
    if (item.host == name && !item.ended) {
      EndRequest(item, outcome::kUnknown, 0, 0, {});
    }
  }
}

void world::Freeze(const std::string& name) {
  Host(name).frozen = true;
}

void world::Thaw(const std::string& name) {
  world_host& host = Host(name);
  if (!std::exchange(host.frozen, false)) {
    return;
  }
  // Delivers the tick, which runs its overdue timers, before the events of the
  // frozen time: the harder order for the core.
  FeedLater(duration{0}, name, host.incarnation, tick{});
  for (core_event& event : std::exchange(host.frozen_events, {})) {
    FeedLater(duration{0}, name, host.incarnation, std::move(event));
  }
}

void world::StopGracefully(const std::string& name) {
  Feed(Host(name), stop_requested{});
}

void world::Cut(const std::string& a, const std::string& b) {
  cuts_.insert(std::minmax(a, b));
}

void world::Heal(const std::string& a, const std::string& b) {
  cuts_.erase(std::minmax(a, b));
}

bool world::IsCut(const std::string& a, const std::string& b) const {
  return cuts_.contains(std::minmax(a, b));
}

void world::Feed(world_host& host, const core_event& event) {
  const uint64_t incarnation = host.incarnation;
  const action_list actions = host.core->OnEvent(now_, event);
  for (const core_action& action : actions) {
    if (host.core == nullptr || host.incarnation != incarnation) {
      return;
    }
    Execute(host, action);
  }
}

void world::FeedLater(duration delay,
                      const std::string& name,
                      uint64_t incarnation,
                      core_event event) {
  After(delay, [this, name, incarnation, event = std::move(event)] {
    world_host& host = Host(name);
    if (host.core == nullptr || host.incarnation != incarnation) {
      return;
    }
    if (host.frozen) {
      host.frozen_events.push_back(event);
      return;
    }
    Feed(host, event);
  });
}

void world::Execute(world_host& host, const core_action& action) {
  std::visit([&](const auto& item) { Do(host, item); }, action);
}

void world::Do(world_host& host, const send_peer& action) {
  if (peer_observer_) {
    peer_observer_(action.message);
  }
  for (auto& [name, other] : hosts_) {
    if (other.peer_address == action.to && !IsCut(host.name, name)) {
      FeedLater(kMessageDelay, name, other.incarnation,
                peer_received{.message = action.message});
    }
  }
}

void world::ServeWatch(const std::string& name,
                       uint64_t incarnation,
                       const platform_call& call,
                       time_point until) {
  if (platform_down_ || IsCut(name, kPlatformName)) {
    FeedLater(kPlatformTimeout, name, incarnation,
              platform_reply{.tag = call.tag});
    return;
  }
  if (platform_.RevisionOf(call.key) == call.expected && now_ < until) {
    After(kWatchPollInterval, [this, name, incarnation, call, until] {
      ServeWatch(name, incarnation, call, until);
    });
    return;
  }
  FeedLater(platform_delay_, name, incarnation, platform_.Apply(call));
}

void world::Do(world_host& host, const platform_call& call) {
  const std::string name = host.name;
  const uint64_t incarnation = host.incarnation;
  if (call.operation == platform_operation::kWatch) {
    ServeWatch(name, incarnation, call, now_ + kWatchTimeout);
    return;
  }
  const platform_reply no_reply{.tag = call.tag};
  if (platform_down_ || IsCut(name, kPlatformName)) {
    FeedLater(kPlatformTimeout, name, incarnation, no_reply);
    return;
  }
  After(platform_delay_ / 2, [this, name, incarnation, call, no_reply] {
    platform_reply reply = platform_.Apply(call);
    const bool is_write = call.operation == platform_operation::kCompareAndSwap;
    const bool lost = (is_write && lose_replies_ > 0) || platform_down_ ||
                      IsCut(name, kPlatformName) ||
                      platform_delay_ > kPlatformTimeout;
    if (is_write && lose_replies_ > 0) {
      --lose_replies_;
    }
    FeedLater(lost ? kPlatformTimeout : platform_delay_ / 2, name, incarnation,
              lost ? no_reply : reply);
  });
}

void world::Do(world_host& host, const probe_upstream& action) {
  world_upstream& upstream = Upstream(action.upstream);
  upstream_report report{.upstream = action.upstream};
  if (upstream.mode != upstream_mode::kDown &&
      !IsCut(host.name, action.upstream)) {
    report.reachable = true;
    report.incarnation = upstream.incarnation;
    report.running = upstream.in_flight;
    report.leaving = upstream.leaving;
    for (const std::string& target : upstream.spec.serves) {
      report.models.push_back({.name = target, .version = upstream.version});
    }
  }
  FeedLater(2 * kMessageDelay, host.name, host.incarnation, report);
}

void world::Do(world_host& host, const configuration_adopted& action) {
  if (action.generation <= host.generation) {
    ReportViolation("configuration of " + host.name +
                    " reverted from generation " +
                    std::to_string(host.generation) + " to " +
                    std::to_string(action.generation));
  }
  host.generation = action.generation;
}

void world::Do(world_host& host, const members_changed& action) {
  std::set<std::string> members;
  for (const member& item : action.members) {
    members.insert(item.host);
  }
  for (const std::string& name : host.reported_members) {
    if (!members.contains(name) && IsRunning(name) && !IsFrozen(name)) {
      ++false_deaths_;
    }
  }
  host.reported_members = std::move(members);
}

void world::Do(world_host& host, const stop_ready& /*action*/) {
  for (const auto& [name, item] : requests_) {
    if (item.host == host.name && !item.ended) {
      ReportViolation("graceful stop of " + host.name + " aborts request " +
                      name);
    }
  }
  host.stop_ready = true;
  host.core.reset();
}

void world::Do(world_host& host, const cancel_attempt& action) {
  host.attempts.erase(action.attempt);
}

void world::Do(world_host& host, const local_response& action) {
  const auto found = request_names_.find(action.request);
  if (found == request_names_.end()) {
    ReportViolation("a response to a request that no caller sent from " +
                    host.name);
  }
  EndRequest(requests_.at(found->second), action.result, action.status,
             action.retry_after_seconds, action.recorded.body);
}

void world::Do(world_host& host, const dispatch_attempt& action) {
  const std::string& request = request_names_.at(action.request);
  host.attempts[action.attempt] = request;
  const std::string name = host.name;
  const uint64_t incarnation = host.incarnation;
  const world_upstream& upstream = Upstream(action.upstream);
  if (upstream.leaving && now_ - upstream.leaving_since > kLeavingGrace) {
    ReportViolation("request " + request + " goes to " + action.upstream +
                    ", which has been leaving for " +
                    std::to_string(ToSeconds(now_ - upstream.leaving_since)) +
                    " s");
  }
  After(kMessageDelay, [this, name, incarnation, action] {
    Arrive(name, incarnation, action);
  });
}

void world::RecordRun(world_upstream& upstream, const std::string& request) {
  ++upstream.runs;
  world_request& item = requests_.at(request);
  ++item.runs;
  item.upstreams.push_back(upstream.spec.name);
  if (item.ended && item.result == outcome::kNotRun) {
    ReportViolation("request " + request + " ran after its caller got not_run");
  }
  if (item.key.empty()) {
    return;
  }
  if (++runs_by_key_[item.key] > 1) {
    ReportViolation("key " + item.key +
                    " ran twice, the second time as request " + request +
                    " on " + upstream.spec.name);
  }
}

void world::Arrive(const std::string& name,
                   uint64_t incarnation,
                   const dispatch_attempt& action) {
  world_upstream& upstream = Upstream(action.upstream);
  const auto known = Host(name).attempts.find(action.attempt);
  const std::string request = known == Host(name).attempts.end()
                                  ? request_names_.at(action.request)
                                  : known->second;
  attempt_ended event{.attempt = action.attempt};
  if (upstream.mode == upstream_mode::kDown || IsCut(name, action.upstream)) {
    event.result = outcome::kNotRun;
    event.unreachable = true;
    EndAttempt(name, incarnation, event, request);
    return;
  }
  if (upstream.mode == upstream_mode::kBusy) {
    event.result = outcome::kNotRun;
    event.refused_busy = true;
    EndAttempt(name, incarnation, event, request);
    return;
  }
  if (upstream.spec.kind == upstream_kind::kEngine &&
      upstream.version != version_) {
    ReportViolation("request " + request + " is answered from weights " +
                    upstream.version + " while " + version_ +
                    " are configured");
  }
  RecordRun(upstream, request);
  if (upstream.mode == upstream_mode::kBreaking) {
    EndAttempt(name, incarnation, event, request);
    return;
  }
  ++upstream.in_flight;
  const uint64_t upstream_incarnation = upstream.incarnation;
  After(upstream.service_time,
        [this, name, incarnation, action, request, upstream_incarnation] {
          world_upstream& item = Upstream(action.upstream);
          attempt_ended done{.attempt = action.attempt};
          if (item.incarnation == upstream_incarnation) {
            --item.in_flight;
            done.result = outcome::kAnswered;
            done.response_started = true;
            done.response = {.status = kOk, .body = "answer to " + request};
          }
          EndAttempt(name, incarnation, done, request);
        });
}

void world::EndAttempt(const std::string& name,
                       uint64_t incarnation,
                       const attempt_ended& event,
                       const std::string& request) {
  After(kMessageDelay, [this, name, incarnation, event, request] {
    world_host& host = Host(name);
    if (host.core == nullptr || host.incarnation != incarnation) {
      return;
    }
    if (host.attempts.erase(event.attempt) != 0 &&
        event.result == outcome::kAnswered) {
      EndRequest(requests_.at(request), outcome::kAnswered, kOk, 0,
                 event.response.body);
    }
    FeedLater(duration{0}, name, incarnation, event);
  });
}

void world::EndRequest(world_request& item,
                       outcome result,
                       uint32_t status,
                       uint32_t retry_after,
                       const std::string& response) {
  if (item.ended) {
    // The requests of a killed host have ended already, with status 0.
    if (item.status != 0) {
      ReportViolation("request " + item.name + " gets two responses");
    }
    return;
  }
  if (result == outcome::kNotRun && item.runs != 0) {
    ReportViolation("request " + item.name +
                    " ran, and its caller gets not_run");
  }
  const bool other_request = status == kUnprocessable;
  if (result == outcome::kNotRun && RunsOfKey(item.key) != 0 &&
      !other_request) {
    ReportViolation("key " + item.key + " ran, and request " + item.name +
                    " gets not_run");
  }
  item.ended = true;
  item.ended_at = now_;
  item.result = result;
  item.status = status;
  item.retry_after = retry_after;
  item.response = response;
}

world_upstream& world::AddUpstream(const upstream_spec& spec) {
  world_upstream& item = upstreams_[spec.name];
  item.spec = spec;
  item.version = version_;
  return item;
}

world_upstream& world::Upstream(const std::string& name) {
  const auto found = upstreams_.find(name);
  if (found == upstreams_.end()) {
    throw std::out_of_range("no upstream is named " + name);
  }
  return found->second;
}

configuration world::MakeConfiguration() const {
  configuration config;
  config.platform.name = "scenario";
  std::set<std::string> models;
  std::set<std::string> services;
  for (const auto& [name, upstream] : upstreams_) {
    config.upstreams.push_back(upstream.spec);
    const bool engine = upstream.spec.kind == upstream_kind::kEngine;
    (engine ? models : services)
        .insert(upstream.spec.serves.begin(), upstream.spec.serves.end());
  }
  std::vector<std::string> uses;
  for (const std::string& model : models) {
    config.models.push_back({.name = model, .version = version_});
    uses.push_back(model);
  }
  for (const std::string& service : services) {
    config.services.push_back({.name = service, .repeatable = false});
    uses.push_back(service);
  }
  for (const char* name : {"kiosk", "kitchen"}) {
    config.workspaces.push_back({.name = name,
                                 .credential_sha256 = Sha256Hex(name),
                                 .priority = priority_class::kInteractive,
                                 .uses = uses,
                                 .max_in_flight = 100});
  }
  return config;
}

void world::Send(const send_options& opts) {
  world_request& item = requests_[opts.name];
  item = {.name = opts.name, .host = opts.host, .key = opts.key, .sent = now_};
  world_host& host = Host(opts.host);
  const request_id id = next_request_++;
  request_names_[id] = opts.name;
  if (host.core == nullptr) {
    EndRequest(item, outcome::kUnknown, 0, 0, {});
    return;
  }
  const uint64_t issued =
      kUnixSecondsAtZero - opts.key_age_seconds +
      static_cast<uint64_t>(ToSeconds(now_.time_since_epoch()));
  request_arrived event{.request = id,
                        .workspace = opts.workspace,
                        .target = opts.target,
                        .levels = {{.hash = Hash64(opts.body), .tokens = 100}},
                        .prompt_tokens = 100,
                        .idempotency_key = opts.key,
                        .key_issued = opts.key.empty() ? 0 : issued,
                        .is_first_attempt = opts.first,
                        .request_digest = Hash128(opts.body),
                        .time_limit = opts.time_limit};
  FeedLater(duration{0}, opts.host, host.incarnation, event);
}

const world_request& world::Request(const std::string& name) const {
  return requests_.at(name);
}

uint64_t world::RunsOfKey(const std::string& key) const {
  const auto found = runs_by_key_.find(key);
  return found == runs_by_key_.end() ? 0 : found->second;
}

void world::CheckEnd() const {
  for (const auto& [name, item] : requests_) {
    if (!item.ended) {
      ReportViolation("request " + name + " got no response");
    }
    const bool own = item.response.empty() || !item.key.empty() ||
                     item.response == "answer to " + name;
    if (!own) {
      ReportViolation("request " + name + " got \"" + item.response + "\"");
    }
  }
}

}  // namespace cuminswitch
