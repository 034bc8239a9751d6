// Accepts or rejects the requests of callers.
#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "cuminswitch/Edge/arrival_translator.h"
#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Edge/retry_after.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

/// `Retry-After` of a daemon that has no routing config yet.
static constexpr duration kStartupRetryAfter = std::chrono::milliseconds(500);
/// `Retry-After` of a stopping daemon; the caller retries at another one.
static constexpr duration kStoppingRetryAfter = std::chrono::milliseconds(50);
/// `Retry-After` of a daemon that reaches no upstream and no peer that does.
static constexpr duration kUnreachableRetryAfter =
    std::chrono::milliseconds(500);
/// The wait assumed for a caller that states none.
static constexpr duration kDefaultMaxWait = std::chrono::seconds(60);

static duration MaxWait(const caller_request& request,
                        const route_spec& route) {
  return std::min<duration>(request.max_wait.value_or(kDefaultMaxWait),
                            route.timeout);
}

uint32_t edge_task::CheckRequest(const caller_request& request,
                                 const route_spec*& route,
                                 const workspace_config*& workspace) const {
  if (!HasConfig()) {
    return status_code::kUnavailable;
  }
  const routing_config& config = *snapshot_->config;
  route = config.FindRoute(request.host, request.path);
  if (route == nullptr) {
    return status_code::kNotFound;
  }
  if (config.workspaces.empty() || route->is_public) {
    return 0;
  }
  workspace = config.FindWorkspace(request.credential);
  return workspace == nullptr ? status_code::kUnauthorized : 0;
}

void edge_task::OnRequest(caller_exchange& exchange) {
  caller_request request = with_.protocol.ReadRequest(exchange.Head());
  exchange.SetRequestId(request.attempt);
  const route_spec* route = nullptr;
  const workspace_config* workspace = nullptr;
  uint32_t status = CheckRequest(request, route, workspace);
  if (status == 0 &&
      !stop_.CanAccept(ReadBootClock(), MaxWait(request, *route))) {
    status = status_code::kUnavailable;
  }
  if (status != 0) {
    RejectRequest(exchange, request, status,
                  stop_.HasBegun() ? kStoppingRetryAfter : kStartupRetryAfter,
                  false);
  } else if (!RedirectRequest(exchange, request, *route)) {
    BeginFlow(exchange, std::move(request), *route, workspace);
  }
}

bool edge_task::RedirectRequest(caller_exchange& exchange,
                                const caller_request& request,
                                const route_spec& route) {
  const std::string& service = ServiceFor(route, request);
  if (!HasLost(service)) {
    return false;
  }
  const time_point now = ReadBootClock();
  if (request.is_forwarded ||
      !Forward({.id = ++next_request_,
                .exchange = &exchange,
                .attempt = request.attempt,
                .route = route.name,
                .service = service,
                .arrived = now,
                .deadline = now + MaxWait(request, route),
                .peers = {}})) {
    RejectRequest(exchange, request, status_code::kUnavailable,
                  kUnreachableRetryAfter, true);
  }
  return true;
}

void edge_task::RejectRequest(caller_exchange& exchange,
                              const caller_request& request,
                              uint32_t status,
                              duration retry_after,
                              bool is_unreachable) {
  metrics_.CountRejected(status);
  const uint64_t version = HasConfig() ? snapshot_->config->version : 0;
  with_.log.Write(log_class::kRequest, log_line("request_rejected")
                                           .Add("id", request.attempt)
                                           .Add("host", request.host)
                                           .Add("path", request.path)
                                           .Add("status", status)
                                           .Add("unreachable", is_unreachable)
                                           .Add("configuration", version));
  http_headers headers;
  if (status == status_code::kUnavailable) {
    headers.push_back(RetryAfter(retry_after));
  }
  Reply(exchange, status, headers, {}, false);
}

void edge_task::BeginFlow(caller_exchange& exchange,
                          caller_request request,
                          const route_spec& route,
                          const workspace_config* workspace) {
  const time_point now = ReadBootClock();
  const duration max_wait = MaxWait(request, route);
  request_flow::options options{
      .id = ++next_request_,
      .exchange = &exchange,
      .request = std::move(request),
      .config = snapshot_->config,
      .route = &route,
      .service = {},
      .workspace = workspace == nullptr ? std::string() : workspace->name,
      .rank = workspace == nullptr ? route.rank
                                   : workspace->rank.value_or(route.rank),
      .uses_cache = false,
      .digest = {},
      .part_digests = {},
      .arrived = now,
      .deadline = now + max_wait};
  options.service = ServiceFor(route, options.request);
  options.uses_cache = !options.request.parts.empty();
  options.digest = DigestRequest(exchange, options.workspace);
  options.part_digests = DigestParts(options.request.parts, options.service);
  request_arrived arrival = DescribeArrival(options);
  const request_id id = options.id;
  auto flow = std::make_unique<request_flow>(
      std::move(options), request_flow::parts{.base = base(),
                                              .pool = pool_,
                                              .protocol = with_.protocol,
                                              .owner = *this});
  request_flow& started = *flow;
  flows_[id] = std::move(flow);
  started.Start();
  if (route.kind == request_kind::kResumableStream &&
      started.request().has_last_event) {
    FindOrigin(now, started, std::move(arrival));
    return;
  }
  SubmitArrival(now, started, std::move(arrival));
}

void edge_task::SubmitArrival(time_point now,
                              const request_flow& flow,
                              request_arrived arrival) {
  const workspace_config* workspace =
      flow.workspace().empty()
          ? nullptr
          : flow.config().FindWorkspace(flow.request().credential);
  if (workspace == nullptr || !workspace->quota) {
    ForwardToRouter(now, std::move(arrival));
    return;
  }
  quotas_.Submit(now, DescribeQuotaQuery(now, flow, *workspace->quota,
                                         std::move(arrival)));
  ProcessQuotaDecisions(now);
}

}  // namespace cuminswitch
