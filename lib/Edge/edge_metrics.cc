#include "cuminswitch/Edge/edge_metrics.h"

#include "cuminswitch/Metrics/metric_page.h"

namespace cuminswitch {

/// Routes that are counted under their own name; a configuration may contain
/// thousands.
static constexpr size_t kMaxRoutes = 64;
static constexpr std::string_view kOtherRoutes = "other";

void edge_metrics::CountEnd(const std::string& route,
                            outcome result,
                            std::string_view reason,
                            double seconds) {
  const bool has_room = routes_.contains(route) || routes_.size() < kMaxRoutes;
  route_metrics& item = routes_[has_room ? route : std::string(kOtherRoutes)];
  const std::string labels = "outcome=\"" + std::string(ToString(result)) +
                             "\",reason=\"" + std::string(reason) + "\"";
  ++item.outcomes[labels];
  item.duration.Add(seconds);
}

void edge_metrics::CountFirstByte(const std::string& route, double seconds) {
  const auto found = routes_.find(route);
  if (found != routes_.end()) {
    found->second.first_byte.Add(seconds);
  }
}

/// Adds one value for each workspace that has a quota.
template <class Read>
static void AddQuotas(metric_page& page,
                      const std::map<std::string, quota_counts>& quotas,
                      const Read& read) {
  for (const auto& [workspace, counts] : quotas) {
    page.Add(static_cast<double>(read(counts)),
             "workspace=\"" + workspace + "\"");
  }
}

static void WriteQuotas(metric_page& page,
                        const std::map<std::string, quota_counts>& quotas) {
  page.Begin("cuminswitch_quota_admitted_total", "counter",
             "Requests that were within their workspace's quota.");
  AddQuotas(page, quotas, [](const auto& item) { return item.admitted; });
  page.Begin("cuminswitch_quota_refused_total", "counter",
             "Requests that were over their workspace's quota.");
  AddQuotas(page, quotas, [](const auto& item) { return item.refused; });
  page.Begin("cuminswitch_quota_given_back_total", "counter",
             "Units of admitted requests that did not run.");
  AddQuotas(page, quotas, [](const auto& item) { return item.refunded; });
  page.Begin("cuminswitch_quota_rate", "gauge",
             "Units a second that the workspace may use over the fleet.");
  AddQuotas(page, quotas, [](const auto& item) { return item.limit.rate; });
  page.Begin("cuminswitch_quota_left", "gauge",
             "Units left, as the decider last told; below 0 overdrawn.");
  AddQuotas(page, quotas, [](const auto& item) { return item.level; });
  page.Begin("cuminswitch_quota_left_age_seconds", "gauge",
             "How old that was when it was decided by it.");
  AddQuotas(page, quotas, [](const auto& item) { return ToSeconds(item.age); });
}

void edge_metrics::CountLate(const std::string& route, std::string_view cause) {
  if (const auto found = routes_.find(route); found != routes_.end()) {
    ++found->second.late[std::string(cause)];
  }
}

void edge_metrics::CountTruncated(const std::string& route,
                                  std::string_view reason) {
  ++routes_[routes_.contains(route) ? route : std::string(kOtherRoutes)]
        .truncated[std::string(reason)];
}

std::string edge_metrics::Write(const sources& from) const {
  const core_status& status = from.status;
  metric_page page;
  page.Begin("cuminswitch_requests_total", "counter",
             "Ended requests by route, outcome and reason.");
  for (const auto& [route, item] : routes_) {
    for (const auto& [labels, count] : item.outcomes) {
      std::string all = "route=\"" + route + "\",";
      all += labels;
      page.Add(static_cast<double>(count), all);
    }
  }
  page.Begin("cuminswitch_request_seconds", "histogram",
             "Time from a request's head to its end.");
  for (const auto& [route, item] : routes_) {
    page.Add(item.duration, "route=\"" + route + "\"");
  }
  page.Begin("cuminswitch_first_byte_seconds", "histogram",
             "Time from a request's head to the first byte for its caller.");
  for (const auto& [route, item] : routes_) {
    page.Add(item.first_byte, "route=\"" + route + "\"");
  }
  page.Begin("cuminswitch_late_total", "counter",
             "Whole answers that were late, by first byte, pause, or both.");
  for (const auto& [route, item] : routes_) {
    for (const auto& [cause, count] : item.late) {
      std::string labels = "route=\"" + route + "\",cause=\"";
      labels += cause + "\"";
      page.Add(static_cast<double>(count), labels);
    }
  }
  page.Begin("cuminswitch_truncated_total", "counter",
             "Responses that were begun and not completed, by reason.");
  for (const auto& [route, item] : routes_) {
    for (const auto& [reason, count] : item.truncated) {
      std::string labels = "route=\"" + route + "\",reason=\"";
      labels += reason + "\"";
      page.Add(static_cast<double>(count), labels);
    }
  }
  page.Begin("cuminswitch_caller_connections_cut_total", "counter",
             "Callers' connections closed with a response unsent or a request "
             "discarded, by cause.");
  for (const auto& [cause, count] : cut_) {
    page.Add(static_cast<double>(count), "cause=\"" + cause + "\"");
  }
  page.Begin("cuminswitch_rejected_total", "counter",
             "Requests of no route, by status.");
  for (const auto& [code, count] : rejected_) {
    page.Add(static_cast<double>(count),
             "status=\"" + std::to_string(code) + "\"");
  }
  page.Begin("cuminswitch_streams_resumed_total", "counter",
             "Requests that resume a stream, by where its software version is "
             "known from.");
  for (const auto& [source, count] : resumed_) {
    page.Add(static_cast<double>(count), "source=\"" + source + "\"");
  }
  page.Begin("cuminswitch_known_streams", "gauge",
             "Streams whose software version this daemon knows.");
  page.Add(static_cast<double>(from.known_streams));
  page.Begin("cuminswitch_streams_without_version_total", "counter",
             "Streams not resumed, as no upstream had their software version.");
  page.Add(static_cast<double>(status.counters.version_gone));
  page.Begin("cuminswitch_retries_total", "counter",
             "Attempts beyond a request's first.");
  page.Add(static_cast<double>(status.counters.retries));
  page.Begin("cuminswitch_retries_postponed_total", "counter",
             "Times that a response had begun and no upstream went on with it "
             "yet.");
  page.Add(static_cast<double>(status.counters.postponed));
  page.Begin("cuminswitch_reservations_total", "counter",
             "Slots asked for, for requests on superseded weights.");
  page.Add(static_cast<double>(status.counters.reservations));
  page.Begin("cuminswitch_reservations_refused_total", "counter",
             "Slots that upstreams did not grant.");
  page.Add(static_cast<double>(status.counters.reservations_refused));
  page.Begin("cuminswitch_retry_budget_used", "gauge",
             "Retries in the present window, by target.");
  for (const retry_status& item : status.retries) {
    page.Add(item.retries, "target=\"" + item.target + "\"");
  }
  page.Begin("cuminswitch_retry_budget", "gauge",
             "Retries that this daemon may send in a window, by target.");
  for (const retry_status& item : status.retries) {
    page.Add(item.allowed, "target=\"" + item.target + "\"");
  }
  page.Begin("cuminswitch_retry_budget_daemons", "gauge",
             "Daemons among which the fleet's part of the budget is divided.");
  page.Add(static_cast<double>(status.budget_daemons));
  page.Begin("cuminswitch_waiting_requests", "gauge",
             "Requests that wait for an upstream.");
  page.Add(static_cast<double>(status.waiting));
  page.Begin("cuminswitch_yielded_requests_total", "counter",
             "Requests refused in favour of more urgent ones that would be "
             "late.");
  page.Add(static_cast<double>(status.counters.yielded));
  page.Begin("cuminswitch_upstream_in_flight", "gauge",
             "This daemon's attempts at each upstream.");
  for (const upstream_status& item : status.upstreams) {
    page.Add(item.in_flight, "upstream=\"" + item.name + "\"");
  }
  page.Begin("cuminswitch_upstream_rate_limit", "gauge",
             "Requests a second that an upstream in need takes from all.");
  for (const upstream_status& item : status.upstreams) {
    if (item.rate_limit) {
      page.Add(*item.rate_limit, "upstream=\"" + item.name + "\"");
    }
  }
  page.Begin("cuminswitch_suspected_requests", "gauge",
             "Requests under which an upstream crashed.");
  page.Add(static_cast<double>(status.suspected_requests));
  page.Begin("cuminswitch_quarantined_requests", "gauge",
             "Requests that are kept away from upstreams, which crash under "
             "them.");
  page.Add(static_cast<double>(status.quarantined_requests));
  page.Begin("cuminswitch_limit_decisions_total", "counter",
             "Requests for upstreams that name a limit, by what was decided.");
  page.Add(static_cast<double>(from.limits.granted), "decision=\"granted\"");
  page.Add(static_cast<double>(from.limits.denied), "decision=\"turned_away\"");
  page.Add(static_cast<double>(from.limits.unused), "decision=\"unused\"");
  page.Begin("cuminswitch_upstream_rejection_limit", "gauge",
             "Rejections a second that an upstream survives.");
  for (const upstream_status& item : status.upstreams) {
    if (item.rejection_limit) {
      page.Add(*item.rejection_limit, "upstream=\"" + item.name + "\"");
    }
  }
  page.Begin("cuminswitch_upstream_rejections_total", "counter",
             "Requests that an upstream rejected because it was full.");
  for (const upstream_status& item : status.upstreams) {
    page.Add(static_cast<double>(item.rejections),
             "upstream=\"" + item.name + "\"");
  }
  page.Begin("cuminswitch_concurrency_permits_total", "counter",
             "Permits received for requests at upstreams with a rejection "
             "limit.");
  page.Add(static_cast<double>(from.permits.received));
  page.Begin("cuminswitch_unresponsive_owners_total", "counter",
             "Owners of such permits that did not reply in time.");
  page.Add(static_cast<double>(from.permits.unresponsive_owners));
  WriteQuotas(page, from.quotas);
  page.Begin("cuminswitch_shared_prefix_tokens_total", "counter",
             "Tokens of shared prefixes, by where they were to come from.");
  for (size_t i = 0; i < kPrefixOrigins; ++i) {
    std::string label = "origin=\"";
    label += ToString(static_cast<prefix_origin>(i));
    page.Add(static_cast<double>(status.counters.prefix_tokens[i]),
             label + "\"");
  }
  page.Begin("cuminswitch_engines_kept_share", "gauge",
             "Part of the engines that is kept for short prompts.");
  page.Add(status.short_share);
  page.Begin("cuminswitch_upstream_connections_total", "counter",
             "Connections opened to upstreams.");
  page.Add(static_cast<double>(from.upstream_connections));
  page.Begin("cuminswitch_upstream_doubts_total", "counter",
             "Times that a failure cast doubt on the contact with upstreams.");
  page.Add(static_cast<double>(from.upstream_doubts));
  page.Begin("cuminswitch_upstreams_unreachable", "gauge",
             "1 while this daemon reaches no upstream.");
  page.Add(from.has_lost_upstreams ? 1 : 0);
  page.Begin("cuminswitch_unreadable_upstreams", "gauge",
             "Listed upstreams whose entries cannot be read.");
  page.Add(static_cast<double>(from.unreadable_upstreams));
  page.Begin("cuminswitch_unreadable_loads_total", "counter",
             "Responses whose load has a figure that cannot be read.");
  page.Add(static_cast<double>(from.unreadable_loads));
  page.Begin("cuminswitch_refusing_upstreams", "gauge",
             "Upstreams that this daemon or a peer was refused by.");
  page.Add(static_cast<double>(status.refusing_upstreams));
  page.Begin("cuminswitch_refusal_trials_total", "counter",
             "Attempts at upstreams that refused earlier ones.");
  page.Add(static_cast<double>(status.counters.refusal_trials));
  page.Begin("cuminswitch_items_stale", "gauge",
             "1 while it is unknown if the store holds something newer.");
  page.Add(from.is_stale ? 1 : 0);
  page.Begin(
      "cuminswitch_held_bytes", "gauge",
      "Bytes held for callers and upstreams that are slow to take them.");
  page.Add(static_cast<double>(from.held_bytes));
  page.Begin("cuminswitch_refused_for_memory_total", "counter",
             "Requests refused because too many bytes were held.");
  page.Add(static_cast<double>(from.refused_for_memory));
  page.Begin("cuminswitch_log_lines_dropped_total", "counter",
             "Log lines that were not written.");
  page.Add(static_cast<double>(from.log_lines_dropped));
  return page.Take();
}

}  // namespace cuminswitch
