// Forwards requests to peers while this daemon reaches no upstream.
#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Peers that a request is offered to. Some may have lost the upstreams too,
/// which their heartbeats do not say yet.
static constexpr size_t kMaxPeersTried = 3;

std::vector<forward_target> edge_task::ChoosePeers(
    std::string_view attempt) const {
  struct candidate {
    uint64_t order = 0;
    const daemon_record* record = nullptr;
  };
  std::vector<candidate> candidates;
  for (const daemon_record& item : peers_) {
    if (item.is_ready && !item.is_leaving) {
      candidates.push_back(
          {.order = Hash64(item.name, Hash64(attempt)), .record = &item});
    }
  }
  const size_t count = std::min(kMaxPeersTried, candidates.size());
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<ptrdiff_t>(count),
      candidates.end(),
      [](const candidate& a, const candidate& b) { return a.order < b.order; });
  std::vector<forward_target> chosen;
  for (size_t i = 0; i < count; ++i) {
    const daemon_record& peer = *candidates[i].record;
    chosen.push_back(
        {.name = peer.name, .caller_address = peer.caller_address});
  }
  return chosen;
}

bool edge_task::Forward(forwarded_request::options opts) {
  opts.peers = ChoosePeers(opts.attempt);
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
  if (!has_lost_upstreams_ || flow.request().is_forwarded || flow.has_ended() ||
      flow.may_have_run() || ChoosePeers(flow.request().attempt).empty()) {
    return false;
  }
  forwarded_request::options opts{.id = flow.id(),
                                  .exchange = flow.Detach(),
                                  .attempt = flow.request().attempt,
                                  .route = flow.route().name,
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
  CallLater(base(), [this, alive = alive_, id = request.id()] {
    if (*alive) {
      forwarded_.erase(id);
    }
  });
}

}  // namespace cuminswitch
