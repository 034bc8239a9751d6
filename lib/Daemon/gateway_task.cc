#include "cuminswitch/Daemon/gateway_task.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Daemon/chat_request.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Net/http_call.h"
#include "cuminswitch/Net/http_exchange.h"
#include "cuminswitch/Protocol/crash_report.h"
#include "cuminswitch/Support/digest.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

static constexpr std::string_view kJson = "application/json";
static constexpr std::string_view kPlainText = "text/plain; version=0.0.4";
static constexpr std::string_view kServicePrefix = "/services/";
static constexpr std::string_view kBearer = "Bearer ";
static constexpr size_t kMaxKeyLength = 256;
/// A workspace's callers are given one more host for each this many requests
/// that the workspace may have in flight.
static constexpr uint32_t kInFlightPerHost = 64;
static constexpr size_t kMinAddresses = 2;
static constexpr size_t kMaxAddresses = 4;
/// Default time limits of a request without `X-Time-Limit-Ms`, by priority
/// class.
static constexpr duration kInteractiveTimeLimit = std::chrono::seconds(5);
static constexpr duration kStandardTimeLimit = std::chrono::seconds(15);
static constexpr duration kBatchTimeLimit = std::chrono::minutes(5);
static constexpr int64_t kMaxTimeLimitMs = 3'600'000;
/// Longest time that a stop waits for callers to read the rest of responses.
static constexpr std::chrono::milliseconds kFlushTime{1'000};

static void ReplyError(http_exchange& exchange,
                       uint32_t status,
                       std::string_view message) {
  const nlohmann::json error = {
      {"error",
       {{"message", message}, {"outcome", ToString(outcome::kNotRun)}}}};
  http_headers headers = {{.name = "X-Cuminswitch-Outcome",
                           .value = std::string(ToString(outcome::kNotRun))}};
  if (status == status_code::kUnavailable) {
    headers.push_back({.name = "Retry-After", .value = "1"});
  }
  exchange.Reply(status, kJson, error.dump(), headers);
}

static duration DefaultTimeLimit(priority_class priority) {
  switch (priority) {
    case priority_class::kInteractive:
      return kInteractiveTimeLimit;
    case priority_class::kStandard:
      return kStandardTimeLimit;
    case priority_class::kBatch:
      return kBatchTimeLimit;
  }
  return kStandardTimeLimit;
}

/// Parses \p text as a decimal number; fails on trailing characters.
static std::optional<int64_t> ParseNumber(std::string_view text) {
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

static duration ReadTimeLimit(const http_exchange& exchange,
                              priority_class priority) {
  const std::optional<int64_t> millis =
      ParseNumber(exchange.Header("X-Time-Limit-Ms"));
  if (!millis || *millis <= 0 || *millis > kMaxTimeLimitMs) {
    return DefaultTimeLimit(priority);
  }
  return std::chrono::milliseconds(*millis);
}

static std::string BearerToken(const http_exchange& exchange) {
  const std::string value = exchange.Header("Authorization");
  return value.starts_with(kBearer) ? value.substr(kBearer.size())
                                    : std::string();
}

gateway_task::gateway_task(const kernel& services, options opts)
    : services_(services),
      options_(std::move(opts)),
      next_request_(options_.incarnation << 20) {}

gateway_task::~gateway_task() = default;

void gateway_task::OnStart() {
  const daemon_settings& settings = options_.settings;
  client_ = std::make_unique<http_client>(base());
  server_ = std::make_unique<http_server>(
      base(),
      http_server::options{.listen = settings.caller_address,
                           .max_body_size = settings.max_body_size,
                           .max_header_size = settings.max_header_size,
                           .read_timeout = settings.caller_read_timeout,
                           .write_timeout = settings.caller_write_timeout},
      *this);
}

void gateway_task::OnStop() {
  // The core stops when all requests have ended, which may be before their last
  // bytes are written.
  server_->Flush(kFlushTime);
  probes_.clear();
  status_waiters_.clear();
  server_.reset();
  relays_.clear();
  client_.reset();
}

void gateway_task::Receive(gateway_message message) {
  std::visit([this](const auto& item) { Handle(item); }, message);
}

request_relay* gateway_task::FindRelay(request_id request) {
  const auto found = relays_.find(request);
  return found == relays_.end() ? nullptr : found->second.get();
}

void gateway_task::Handle(const dispatch_attempt& action) {
  request_relay* relay = FindRelay(action.request);
  if (relay == nullptr) {
    OnRelayEvent(
        attempt_ended{.attempt = action.attempt, .result = outcome::kNotRun});
    return;
  }
  if (relay->attempt() == 0) {
    metrics_.dispatch_delay.Add(
        std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                      relay->arrived())
            .count());
  }
  relay_by_attempt_.erase(relay->attempt());
  relay_by_attempt_[action.attempt] = action.request;
  relay->Dispatch(action, *client_);
}

void gateway_task::Handle(const cancel_attempt& action) {
  const auto found = relay_by_attempt_.find(action.attempt);
  if (found == relay_by_attempt_.end()) {
    return;
  }
  relays_.erase(found->second);
  relay_by_attempt_.erase(found);
}

void gateway_task::Handle(const local_response& action) {
  if (request_relay* relay = FindRelay(action.request)) {
    relay->SendLocalResponse(action);
  }
}

void gateway_task::Handle(const probe_upstream& action) {
  auto probe = std::make_unique<upstream_probe>(
      action, *client_, [this](upstream_probe& done, upstream_report report) {
        OnRelayEvent(std::move(report));
        probes_.erase(&done);
      });
  upstream_probe* key = probe.get();
  probes_[key] = std::move(probe);
}

void gateway_task::Handle(const configuration_adopted& action) {
  config_ = action.config;
  by_credential_.clear();
  for (const workspace_spec& workspace : config_->workspaces) {
    by_credential_[workspace.credential_sha256] = &workspace;
  }
}

void gateway_task::Handle(const members_changed& action) {
  addresses_.SetMembers(action.members);
}

void gateway_task::Handle(const status_reply& reply) {
  const auto found = status_waiters_.find(reply.ticket);
  if (found == status_waiters_.end()) {
    return;
  }
  http_exchange& exchange = *found->second;
  if (exchange.Path() == "/metrics") {
    exchange.Reply(status_code::kOk, kPlainText,
                   WriteMetrics(metrics_, *reply.status));
  } else {
    exchange.Reply(status_code::kOk, kJson, WriteStatus(*reply.status));
  }
  status_waiters_.erase(found);
}

void gateway_task::OnRelayEvent(core_event event) {
  services_.FindPort<decision_message>(kDecisionService).Post(std::move(event));
}

void gateway_task::OnFirstToken(const request_relay& relay) {
  metrics_.Of(relay.workspace())
      .first_token.Add(std::chrono::duration<double>(
                           std::chrono::steady_clock::now() - relay.arrived())
                           .count());
}

void gateway_task::OnTokenGap(const request_relay& relay, double seconds) {
  metrics_.Of(relay.workspace()).between_tokens.Add(seconds);
}

void gateway_task::OnRelayDone(request_relay& relay, outcome result) {
  metrics_.Of(relay.workspace()).Count(result);
  relay_by_attempt_.erase(relay.attempt());
  relays_.erase(relay.request());
}

void gateway_task::OnRequest(exchange_ptr exchange) {
  const std::string_view path = exchange->Path();
  if (path == "/v1/chat/completions") {
    BeginChat(exchange);
  } else if (path.starts_with(kServicePrefix)) {
    BeginServiceCall(exchange);
  } else if (path == "/v1/addresses") {
    ServeAddresses(exchange);
  } else if (path == "/healthz") {
    exchange->Reply(status_code::kOk, kJson, R"({"status":"ok"})");
  } else if (path == "/readyz") {
    ServeReadiness(exchange);
  } else if (path == "/status" || path == "/metrics") {
    RequestStatus(exchange);
  } else {
    ReplyError(*exchange, status_code::kNotFound, "no such path");
  }
}

void gateway_task::ServeReadiness(const exchange_ptr& exchange) {
  if (config_ == nullptr) {
    ReplyError(*exchange, status_code::kUnavailable,
               "no configuration is in force yet");
    return;
  }
  exchange->Reply(status_code::kOk, kJson, R"({"status":"ready"})");
}

bool gateway_task::IsOperator(const http_exchange& exchange) const {
  const std::string& wanted = options_.settings.operator_credential_sha256;
  return wanted.empty() ||
         EqualInConstantTime(Sha256Hex(BearerToken(exchange)), wanted);
}

void gateway_task::RequestStatus(const exchange_ptr& exchange) {
  if (!IsOperator(*exchange)) {
    ReplyError(*exchange, status_code::kUnauthorized,
               "an operator's credential is needed");
    return;
  }
  const uint64_t ticket = next_ticket_++;
  status_waiters_[ticket] = exchange;
  services_.FindPort<decision_message>(kDecisionService)
      .Post(status_query{.ticket = ticket});
}

const workspace_spec* gateway_task::Authenticate(const exchange_ptr& exchange) {
  if (config_ == nullptr) {
    ReplyError(*exchange, status_code::kUnavailable,
               "no configuration is in force yet");
    return nullptr;
  }
  const std::string token = BearerToken(*exchange);
  if (token.empty()) {
    ReplyError(*exchange, status_code::kUnauthorized,
               "a workspace credential is needed");
    return nullptr;
  }
  // Looking up the digest, not the credential, keeps the lookup's timing from
  // leaking the credential; the match is then confirmed in constant time.
  const std::string digest = Sha256Hex(token);
  const auto found = by_credential_.find(digest);
  if (found == by_credential_.end() ||
      !EqualInConstantTime(found->second->credential_sha256, digest)) {
    ReplyError(*exchange, status_code::kUnauthorized,
               "the credential is not known");
    return nullptr;
  }
  const std::string workspace_name = exchange->Header("X-Workspace");
  if (!workspace_name.empty() && workspace_name != found->second->name) {
    ReplyError(*exchange, status_code::kForbidden,
               "the credential is not that workspace's");
    return nullptr;
  }
  return found->second;
}

void gateway_task::ServeAddresses(const exchange_ptr& exchange) {
  const workspace_spec* workspace = Authenticate(exchange);
  if (workspace == nullptr) {
    return;
  }
  const size_t wanted =
      std::clamp<size_t>(1 + workspace->max_in_flight / kInFlightPerHost,
                         kMinAddresses, kMaxAddresses);
  nlohmann::json json;
  json["time_to_live_seconds"] = options_.settings.address_time_to_live.count();
  json["addresses"] = nlohmann::json::array();
  for (const member* item : addresses_.Choose(workspace->name, wanted)) {
    json["addresses"].push_back({{"host", item->host},
                                 {"address", item->caller_address.ToString()},
                                 {"failure_domain", item->failure_domain}});
  }
  exchange->Reply(status_code::kOk, kJson, json.dump() + "\n");
}

bool gateway_task::ReadIdempotencyKey(const exchange_ptr& exchange,
                                      request_arrived& event) const {
  event.idempotency_key = exchange->Header("Idempotency-Key");
  if (event.idempotency_key.empty()) {
    return true;
  }
  const std::string_view key = event.idempotency_key;
  const size_t dash = key.find('-');
  const std::optional<int64_t> issued = ParseNumber(key.substr(0, dash));
  if (dash == std::string_view::npos || key.size() > kMaxKeyLength || !issued ||
      *issued <= 0) {
    ReplyError(*exchange, status_code::kBadRequest,
               "Idempotency-Key must be <unix seconds>-<text>, at most 256 "
               "characters");
    return false;
  }
  event.key_issued = static_cast<uint64_t>(*issued);
  event.is_first_attempt = exchange->Header("Idempotency-Attempt") == "1";
  return true;
}

void gateway_task::BeginChat(const exchange_ptr& exchange) {
  const workspace_spec* workspace = Authenticate(exchange);
  if (workspace == nullptr) {
    return;
  }
  if (exchange->Method() != "POST") {
    ReplyError(*exchange, status_code::kBadRequest, "the method must be POST");
    return;
  }
  request_arrived event{.workspace = workspace->name};
  try {
    chat_request chat = ParseChatRequest(exchange->Body());
    event.target = std::move(chat.model);
    event.levels = std::move(chat.levels);
    event.prompt_tokens = chat.prompt_tokens;
  } catch (const chat_request_error& error) {
    ReplyError(*exchange, status_code::kBadRequest, error.what());
    return;
  }
  event.time_limit = ReadTimeLimit(*exchange, workspace->priority);
  BeginRequest(
      exchange, std::move(event),
      {.method = http_method::kPost,
       .path = "/v1/chat/completions",
       .headers = {{.name = "Content-Type", .value = std::string(kJson)}}});
}

void gateway_task::BeginServiceCall(const exchange_ptr& exchange) {
  const workspace_spec* workspace = Authenticate(exchange);
  if (workspace == nullptr) {
    return;
  }
  const std::string_view rest = exchange->Path().substr(kServicePrefix.size());
  const size_t slash = rest.find('/');
  request_arrived event{.workspace = workspace->name,
                        .target = std::string(rest.substr(0, slash))};
  event.time_limit = ReadTimeLimit(*exchange, workspace->priority);
  std::string path = slash == std::string_view::npos
                         ? std::string("/")
                         : std::string(rest.substr(slash));
  if (!exchange->Query().empty()) {
    path += "?" + std::string(exchange->Query());
  }
  const bool is_get = exchange->Method() == "GET";
  std::string type = exchange->Header("Content-Type");
  http_headers headers;
  if (!type.empty()) {
    headers.push_back({.name = "Content-Type", .value = std::move(type)});
  }
  BeginRequest(exchange, std::move(event),
               {.method = is_get ? http_method::kGet : http_method::kPost,
                .path = std::move(path),
                .headers = std::move(headers)});
}

void gateway_task::BeginRequest(const exchange_ptr& exchange,
                                request_arrived event,
                                request_relay::options relay) {
  if (!ReadIdempotencyKey(exchange, event)) {
    return;
  }
  const request_id id = ++next_request_;
  event.request = id;
  event.request_digest = ToRequestDigest(Hash128(
      exchange->Body(), Hash64(exchange->Path(), Hash64(event.workspace))));
  relay.request = id;
  relay.workspace = event.workspace;
  relay.caller = exchange;
  relay.body = exchange->Body();
  relay.record_response = !event.idempotency_key.empty();
  if (relay.record_response) {
    relay.headers.push_back(
        {.name = "Idempotency-Key", .value = event.idempotency_key});
  }
  relay.connect_timeout = options_.settings.upstream_connect_timeout;
  relay.idle_timeout = options_.settings.upstream_idle_timeout;
  relay.arrived = std::chrono::steady_clock::now();
  relays_[id] = std::make_unique<request_relay>(std::move(relay), *this);
  exchange->SetOnClosed([this, id] {
    if (request_relay* found = FindRelay(id)) {
      found->OnCallerDisconnected();
      OnRelayEvent(caller_disconnected{.request = id});
    }
  });
  OnRelayEvent(std::move(event));
}

}  // namespace cuminswitch
