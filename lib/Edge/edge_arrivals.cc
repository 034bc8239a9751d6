// How the edge takes a caller's request in.
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

/// When to come back to a daemon that knows no configuration yet.
static constexpr duration kStartRetryAfter = std::chrono::milliseconds(500);
/// When to come back where this daemon stops, to another one.
static constexpr duration kElsewhereRetryAfter = std::chrono::milliseconds(50);
static constexpr duration kDefaultPatience = std::chrono::seconds(60);

static duration PatienceOf(const caller_request& request,
                           const route_spec& route) {
  return std::min<duration>(request.max_wait.value_or(kDefaultPatience),
                            route.timeout);
}

uint32_t edge_task::CheckRequest(const caller_request& request,
                                 const route_spec*& route,
                                 const workspace_config*& workspace) const {
  if (knowledge_ == nullptr || knowledge_->config == nullptr) {
    return status_code::kUnavailable;
  }
  const routing_config& plan = *knowledge_->config;
  route = plan.FindRoute(request.host, request.path);
  if (route == nullptr) {
    return status_code::kNotFound;
  }
  if (plan.workspaces.empty() || route->is_public) {
    return 0;
  }
  workspace = plan.FindWorkspace(request.credential);
  return workspace == nullptr ? status_code::kUnauthorized : 0;
}

void edge_task::OnRequest(caller_exchange& exchange) {
  caller_request request = with_.protocol.ReadRequest(exchange.Head());
  const route_spec* route = nullptr;
  const workspace_config* workspace = nullptr;
  uint32_t status = CheckRequest(request, route, workspace);
  if (status == 0 &&
      !stop_.CanAccept(ReadBootClock(), PatienceOf(request, *route))) {
    status = status_code::kUnavailable;
  }
  if (status == 0) {
    BeginFlow(exchange, std::move(request), *route, workspace);
    return;
  }
  metrics_.CountRejected(status);
  const uint64_t version =
      knowledge_ == nullptr || knowledge_->config == nullptr
          ? 0
          : knowledge_->config->version;
  with_.log.Write(log_class::kRequest, log_line("request_rejected")
                                           .Add("id", request.attempt)
                                           .Add("host", request.host)
                                           .Add("path", request.path)
                                           .Add("status", status)
                                           .Add("configuration", version));
  http_headers headers;
  if (status == status_code::kUnavailable) {
    headers.push_back(
        RetryAfter(stop_.HasBegun() ? kElsewhereRetryAfter : kStartRetryAfter));
  }
  Reply(exchange, status, headers, {}, false);
}

void edge_task::BeginFlow(caller_exchange& exchange,
                          caller_request request,
                          const route_spec& route,
                          const workspace_config* workspace) {
  const time_point now = ReadBootClock();
  const duration patience = PatienceOf(request, route);
  request_flow::options options{
      .id = ++next_request_,
      .exchange = &exchange,
      .request = std::move(request),
      .plan = knowledge_->config,
      .route = &route,
      .workspace = workspace == nullptr ? std::string() : workspace->name,
      .rank = workspace == nullptr ? route.rank
                                   : workspace->rank.value_or(route.rank),
      .uses_cache = false,
      .digest = {},
      .arrived = now,
      .deadline = now + patience};
  options.uses_cache = !options.request.parts.empty();
  options.digest = DigestRequest(exchange, options.workspace);
  request_arrived arrival = DescribeArrival(options, workspace);
  const request_id id = options.id;
  auto flow = std::make_unique<request_flow>(
      std::move(options), request_flow::parts{.base = base(),
                                              .pool = pool_,
                                              .protocol = with_.protocol,
                                              .owner = *this});
  request_flow& started = *flow;
  flows_[id] = std::move(flow);
  started.Start();
  if (workspace == nullptr || !workspace->quota) {
    HandToRouter(now, std::move(arrival));
    return;
  }
  quotas_.Ask(now, DescribeQuotaQuestion(now, started, *workspace->quota,
                                         std::move(arrival)));
  SettleQuotas(now);
}

}  // namespace cuminswitch
