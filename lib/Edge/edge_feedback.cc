// What upstreams say of themselves along with their answers.
#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

static log_line DescribeNotice(std::string_view event,
                               const request_flow& flow) {
  log_line line(event);
  line.Add("upstream", flow.upstream()).Add("id", flow.request().attempt);
  return line;
}

void edge_task::OnFlowFeedback(const request_flow& flow,
                               const upstream_feedback& notices) {
  if (notices.load) {
    router_.OnUpstreamLoad(ReadBootClock(), {.upstream = flow.upstream(),
                                             .running = notices.load->running,
                                             .waiting = notices.load->waiting});
  }
  if (notices.has_run) {
    router_.OnAttemptAnswered(flow.attempt());
  }
  if (notices.limit) {
    TakeLimit(flow, *notices.limit);
  }
  if (notices.backoff) {
    TakeRest(flow, *notices.backoff);
  }
  if (notices.is_leaving) {
    TakeLeaving(flow);
  }
}

void edge_task::TakeLimit(const request_flow& flow,
                          const limit_notice& notice) {
  if (notice.kind == notice_kind::kUnreadable) {
    with_.log.Write(log_class::kBelief,
                    DescribeNotice("limit_unreadable", flow));
    return;
  }
  const uint64_t upstream = Hash64(flow.upstream());
  LogLimit(router_.OnLimit(ReadBootClock(), upstream, flow.sent_at(), notice),
           upstream, "answer");
}

void edge_task::TakeRest(const request_flow& flow,
                         const backoff_notice& notice) {
  if (notice.kind == notice_kind::kUnreadable) {
    with_.log.Write(log_class::kBelief,
                    DescribeNotice("rest_unreadable", flow));
    return;
  }
  router_.OnBackoffRequested(ReadBootClock(), flow.attempt(), notice.time);
  with_.log.Write(
      log_class::kBelief,
      DescribeNotice("rest_asked", flow).Add("rest_ms", notice.time));
}

void edge_task::TakeLeaving(const request_flow& flow) {
  if (router_.OnUpstreamLeaving(flow.attempt())) {
    with_.log.Write(log_class::kBelief, DescribeNotice("leaving_said", flow));
  }
}

}  // namespace cuminswitch
