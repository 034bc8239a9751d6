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

void edge_task::OnFlowFeedback(const request_flow& flow,
                               const upstream_feedback& feedback) {
  contact_.contact().OnResponse(flow.sent_at(), flow.is_on_new_connection());
  if (contact_monitor* monitor = FindContact(ServiceAt(flow.address()))) {
    monitor->contact().OnResponse(flow.sent_at(), flow.is_on_new_connection());
  }
  UpdateContact();
  if (feedback.load) {
    router_.OnUpstreamLoad(ReadBootClock(),
                           {.upstream = flow.upstream(),
                            .running = feedback.load->running,
                            .waiting = feedback.load->waiting});
  }
  if (feedback.has_run) {
    router_.OnResponseStarted(flow.attempt());
  }
  if (feedback.limit) {
    ApplyLimit(flow, *feedback.limit);
  }
  if (feedback.backoff) {
    ApplyBackoff(flow, *feedback.backoff);
  }
  if (feedback.is_leaving) {
    ApplyLeaving(flow);
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
