// Tracks whether this daemon reaches any upstream.
#include <string>
#include <vector>

#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Upstreams probed at once, so that a few that have crashed do not look like a
/// partition.
static constexpr size_t kProbes = 3;

void edge_task::OnConnectionLost(const request_flow& flow) {
  pool_.Forget(flow.address());
  contact_.OnFailure(ReadBootClock(),
                     {.upstream = flow.address(),
                      .on_new_connection = flow.is_on_new_connection()});
  UpdateContact();
}

void edge_task::OnAttemptStalled(const request_flow& flow) {
  pool_.Forget(flow.address());
  OnUpstreamSilent(flow);
}

void edge_task::OnUpstreamSilent(const request_flow& flow) {
  contact_.OnSilence(ReadBootClock(), flow.address(), flow.sent_at());
  UpdateContact();
}

static request_quarantine::contact ToQuarantineContact(
    upstream_contact::state value) {
  switch (value) {
    case upstream_contact::state::kReached:
      return request_quarantine::contact::kReached;
    case upstream_contact::state::kInDoubt:
      return request_quarantine::contact::kInDoubt;
    case upstream_contact::state::kLost:
      return request_quarantine::contact::kLost;
  }
  return request_quarantine::contact::kReached;
}

void edge_task::UpdateContact() {
  const time_point now = ReadBootClock();
  router_.quarantine().SetContact(now, ToQuarantineContact(contact_.current()));
  if (const bool is_lost = contact_.current() == upstream_contact::state::kLost;
      is_lost != has_lost_upstreams_) {
    has_lost_upstreams_ = is_lost;
    with_.log.Write(
        log_class::kLifecycle,
        log_line(is_lost ? "upstreams_unreachable" : "upstreams_reachable")
            .Add("failed", contact_.failed().size())
            .Add("known", upstreams_by_address_.size())
            .Add("doubted_ms", now - contact_.doubted_since()));
    if (HasConfig()) {
      ReportReadiness();
    }
  }
  if (!contact_.NeedsProbes(now) || prober_.IsRunning() ||
      upstreams_by_address_.empty()) {
    return;
  }
  std::vector<upstream_ref> upstreams;
  for (const auto& [address, upstream] : upstreams_by_address_) {
    upstreams.push_back(upstream);
  }
  contact_.OnProbesSent(now);
  probes_sent_at_ = now;
  const uint64_t seed = Hash64(options_.self.name, ++probe_rounds_);
  prober_.Start(ChooseProbeTargets(upstreams, contact_.failed(), kProbes, seed),
                with_.protocol.ProbeTarget());
}

void edge_task::ReportReadiness() {
  services_.FindPort<fleet_message>(kFleetService)
      .Post(readiness_changed{.is_ready = !has_lost_upstreams_});
}

void edge_task::OnProbesEnded(bool has_response) {
  if (has_response) {
    contact_.OnResponse(probes_sent_at_, true);
  } else {
    contact_.OnProbesFailed(probes_sent_at_);
  }
  UpdateContact();
}

}  // namespace cuminswitch
