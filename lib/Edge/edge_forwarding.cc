// Forwards requests to peers while this daemon reaches no upstream.
#include <memory>
#include <string>
#include <utility>

#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Edge/peer_selection.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Log/event_log.h"

namespace cuminswitch {

bool edge_task::Forward(forwarded_request::options opts) {
  opts.peers = ChooseForwardTargets(peers_, opts.service, opts.attempt);
  if (opts.peers.empty()) {
    return false;
  }
  with_.log.Write(log_class::kRequest,
                  log_line("request_forwarded")
                      .Add("id", opts.attempt)
                      .Add("peer", opts.peers.front().name)
                      .Add("peers", opts.peers.size())
                      .Add("time_left_ms", opts.deadline - ReadBootClock()));
  const request_id id = opts.id;
  auto& item = forwarded_[id];
  item = std::make_unique<forwarded_request>(
      std::move(opts), forwarded_request::parts{.base = base(),
                                                .pool = pool_,
                                                .protocol = with_.protocol,
                                                .owner = *this});
  item->Start();
  return true;
}

bool edge_task::ForwardUnsent(request_flow& flow) {
  if (!HasLost(flow.service()) || flow.request().is_forwarded ||
      flow.has_ended() || flow.may_have_run() ||
      ChooseForwardTargets(peers_, flow.service(), flow.request().attempt)
          .empty()) {
    return false;
  }
  forwarded_request::options opts{.id = flow.id(),
                                  .exchange = flow.Detach(),
                                  .attempt = flow.request().attempt,
                                  .route = flow.route().name,
                                  .service = flow.service(),
                                  .arrived = flow.arrived(),
                                  .deadline = flow.deadline(),
                                  .peers = {}};
  RemoveFlowLater(flow);
  return Forward(std::move(opts));
}

void edge_task::OnForwardEnd(const forwarded_request& request,
                             const forward_result& end) {
  const duration took = ReadBootClock() - request.arrived();
  with_.log.Write(log_class::kRequest,
                  log_line("forward_ended")
                      .Add("id", request.attempt())
                      .Add("peer", request.peer())
                      .Add("peers_tried", request.peers_tried())
                      .Add("outcome", ToString(end.result))
                      .Add("status", end.status)
                      .Add("reason", end.reason)
                      .Add("took_ms", took));
  metrics_.CountEnd(request.route(), end.result, end.reason, ToSeconds(took));
  if (request.has_response_begun() && end.status == 0) {
    metrics_.CountTruncated(request.route(), end.reason);
  }
  CallLater(base(), [this, alive = alive_, id = request.id()] {
    if (*alive) {
      forwarded_.erase(id);
    }
  });
}

}  // namespace cuminswitch
