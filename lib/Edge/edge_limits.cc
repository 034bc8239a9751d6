// What upstreams take from all daemons together: the rates that some name, and
// connections.
#include <optional>
#include <utility>
#include <vector>

#include "cuminswitch/Edge/connection_share.h"
#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Edge/request_log.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

static constexpr std::string_view kFromAge = "not_renewed";
static constexpr std::string_view kFromRestart = "restart";

static std::string_view EventName(upstream_limits::change what) {
  switch (what) {
    case upstream_limits::change::kAdded:
      return "limit_named";
    case upstream_limits::change::kChanged:
      return "limit_changed";
    case upstream_limits::change::kEnded:
      return "limit_ended";
    case upstream_limits::change::kNothing:
      break;
  }
  return {};
}

void edge_task::LogLimit(upstream_limits::change what,
                         uint64_t upstream,
                         std::string_view source) {
  if (what == upstream_limits::change::kNothing) {
    return;
  }
  const upstream_limits& limits = router_.limits();
  log_line line(EventName(what));
  line.Add("upstream", router_.FindUpstreamName(upstream))
      .Add("from", source)
      .Add("limits", limits.size());
  if (const std::optional<double> rate = limits.Find(upstream)) {
    line.Add("requests_per_s", *rate)
        .Add("age_ms", limits.Age(ReadBootClock(), upstream));
  }
  with_.log.Write(log_class::kStateChange, line);
}

void edge_task::Take(const peer_limits& news) {
  const time_point now = ReadBootClock();
  for (const limit_update& item : news.limits) {
    LogLimit(router_.OnPeerLimit(now, item), item.upstream, news.peer);
  }
}

void edge_task::TellLimits(time_point now) {
  std::vector<limit_update> news =
      router_.limits().ListUpdates(now, passes_on_);
  // Once more when there are none left, so that no old ones are told.
  if (!news.empty() || told_limits_) {
    told_limits_ = !news.empty();
    services_.FindPort<fleet_message>(kFleetService)
        .Post(own_limits{.limits = std::move(news), .at = now});
  }
}

void edge_task::TakeLimitAsk(time_point now, quota_query ask) {
  // Of the two, the younger news counts: a daemon that has not heard yet that a
  // limit was lowered would raise it for all.
  LogLimit(router_.OnPeerLimit(now, {.upstream = ask.subject,
                                     .rate = ask.limit.rate,
                                     .age = ask.limit_age}),
           ask.subject, ask.from.ToString());
  if (const auto rate = router_.limits().Find(ask.subject)) {
    ask.limit = QuotaOfLimit(*rate);
  }
  limits_.policy().OnQuery(now, ask);
  SettleLimits(now);
}

void edge_task::SettleLimits(time_point now) {
  for (const permit_return& unused : router_.TakeUnusedPermits()) {
    limits_.Return(now, unused);
  }
  for (const permit_request& question : router_.TakePermitRequests()) {
    limits_.Ask(now, question);
  }
  SendQuotaMessages(limits_.policy());
  for (const upstream_limit_admission::permit_result& decided :
       limits_.TakeDecided()) {
    SettleLimit(now, decided);
  }
}

void edge_task::SettleLimit(
    time_point now,
    const upstream_limit_admission::permit_result& decided) {
  const request_flow* flow = FindFlow(decided.request.request);
  if (flow != nullptr) {
    with_.log.Write(
        log_class::kRequest,
        DescribePermit(*flow,
                       router_.FindUpstreamName(decided.request.upstream),
                       decided));
  }
  action_list actions;
  router_.OnPermit(now, decided.Answer(), actions);
  Perform(now, actions);
}

void edge_task::ForgetLimit(const std::string& upstream) {
  const uint64_t hash = Hash64(upstream);
  LogLimit(router_.ForgetLimit(hash), hash, kFromRestart);
}

void edge_task::ExpireLimits(time_point now) {
  for (const uint64_t upstream : router_.ExpireLimits(now)) {
    LogLimit(upstream_limits::change::kEnded, upstream, kFromAge);
  }
}

std::optional<size_t> edge_task::IdleLimit(const endpoint& to) const {
  const auto found = upstreams_by_address_.find(to);
  if (found == upstreams_by_address_.end() || knowledge_ == nullptr ||
      knowledge_->config == nullptr) {
    return std::nullopt;
  }
  const upstream_entry& entry = *found->second;
  const service_config* service =
      knowledge_->config->FindService(entry.service);
  if (service == nullptr) {
    return std::nullopt;
  }
  return IdleShare({.max_connections = service->max_connections,
                    .slots = entry.slots,
                    .daemons = maybe_at_work_,
                    .self = Hash64(options_.self.name),
                    .upstream = Hash64(entry.id)});
}

}  // namespace cuminswitch
