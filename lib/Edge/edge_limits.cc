// How the edge learns of the limits that upstreams name.
#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

static constexpr std::string_view kFromAnswer = "answer";
static constexpr std::string_view kFromAge = "not_renewed";
static constexpr std::string_view kFromRestart = "restart";

static std::string_view EventName(upstream_limits::change what) {
  switch (what) {
    case upstream_limits::change::kBegan:
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

void edge_task::OnFlowLimit(const request_flow& flow,
                            const limit_notice& notice) {
  const time_point now = ReadBootClock();
  if (notice.kind == limit_notice_kind::kUnreadable) {
    with_.log.Write(log_class::kBelief, log_line("limit_unreadable")
                                            .Add("upstream", flow.upstream())
                                            .Add("id", flow.request().attempt));
    return;
  }
  const uint64_t upstream = Hash64(flow.upstream());
  LogLimit(router_.limits().OnAnswer(now, upstream, flow.sent_at(), notice),
           upstream, kFromAnswer);
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
  with_.log.Write(log_class::kBelief, line);
}

void edge_task::ForgetLimit(const std::string& upstream) {
  const uint64_t hash = Hash64(upstream);
  LogLimit(router_.limits().Forget(hash), hash, kFromRestart);
}

void edge_task::ExpireLimits(time_point now) {
  for (const uint64_t upstream : router_.limits().TakeExpired(now)) {
    LogLimit(upstream_limits::change::kEnded, upstream, kFromAge);
  }
}

}  // namespace cuminswitch
