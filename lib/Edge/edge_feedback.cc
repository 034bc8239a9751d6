// Applies what upstreams report about themselves with their responses.
#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

static log_line DescribeFeedback(std::string_view event,
                                 const request_flow& flow) {
  log_line line(event);
  line.Add("upstream", flow.upstream()).Add("id", flow.request().attempt);
  return line;
}

/// Returns the part of \p load that daemons tell one another. Slots stay 0,
/// which makes the counts invalid, where the upstream's counts are unreadable.
static upstream_observation ObservedLoad(const reported_load& load) {
  const bool has_counts = load.running && load.waiting;
  return {.running = load.running.value_or(0),
          .waiting = load.waiting.value_or(0),
          .slots = has_counts ? load.slots : 0,
          .work_percent = load.work_percent};
}

void edge_task::OnFlowFeedback(const request_flow& flow,
                               const upstream_feedback& feedback) {
  contact_.contact().OnResponse(flow.sent_at(), flow.is_on_new_connection());
  if (contact_monitor* monitor = FindContact(ServiceAt(flow.address()))) {
    monitor->contact().OnResponse(flow.sent_at(), flow.is_on_new_connection());
  }
  UpdateContact();
  if (feedback.load) {
    ApplyLoad(flow, *feedback.load);
  }
  if (feedback.has_run) {
    confirmed_upstreams_.emplace(flow.upstream());
    router_.OnResponseStarted(flow.attempt());
    router_.OnResponse(
        ReadBootClock(), flow.attempt(),
        feedback.load ? ObservedLoad(*feedback.load) : upstream_observation());
  }
  if (feedback.limit) {
    ApplyLimit(flow, *feedback.limit);
  }
  if (feedback.rejection_limit) {
    ApplyRejectionLimit(flow, *feedback.rejection_limit);
  }
  if (feedback.backoff) {
    ApplyBackoff(flow, *feedback.backoff);
  }
  if (feedback.is_leaving) {
    ApplyLeaving(flow);
  }
}

void edge_task::ApplyLoad(const request_flow& flow, const reported_load& load) {
  unreadable_loads_ += load.has_unreadable_figure ? 1 : 0;
  if (load.running && load.waiting) {
    router_.OnUpstreamLoad(ReadBootClock(), {.upstream = flow.upstream(),
                                             .running = *load.running,
                                             .waiting = *load.waiting,
                                             .slots = load.slots});
  }
}

void edge_task::ApplyLimit(const request_flow& flow,
                           const limit_notice& notice) {
  if (notice.kind == notice_kind::kUnreadable) {
    with_.log.Write(log_class::kStateChange,
                    DescribeFeedback("limit_unreadable", flow));
    return;
  }
  const uint64_t upstream = Hash64(flow.upstream());
  LogLimit(router_.OnLimit(ReadBootClock(), upstream, flow.sent_at(), notice),
           upstream, "answer");
}

void edge_task::ApplyBackoff(const request_flow& flow,
                             const backoff_notice& notice) {
  if (notice.kind == notice_kind::kUnreadable) {
    with_.log.Write(log_class::kStateChange,
                    DescribeFeedback("rest_unreadable", flow));
    return;
  }
  router_.OnBackoffRequested(ReadBootClock(), flow.attempt(), notice.time);
  with_.log.Write(
      log_class::kStateChange,
      DescribeFeedback("rest_asked", flow).Add("rest_ms", notice.time));
}

void edge_task::ApplyLeaving(const request_flow& flow) {
  if (router_.OnUpstreamLeaving(flow.attempt())) {
    with_.log.Write(log_class::kStateChange,
                    DescribeFeedback("leaving_said", flow));
  }
}

}  // namespace cuminswitch
