// Exchanges observations of upstreams and reports about admissions with peers.
#include <utility>

#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"

namespace cuminswitch {

void edge_task::Handle(const peer_observations& update) {
  router_.OnPeerObservations(ReadBootClock(), update.observations);
}

void edge_task::Handle(const peer_admissions& update) {
  router_.OnPeerAdmissions(ReadBootClock(), update.peer, update.report);
}

void edge_task::LogRefusalChanges() {
  for (const refusal_change& change : router_.TakeRefusalChanges()) {
    with_.log.Write(
        log_class::kStateChange,
        log_line("upstream_refusal")
            .Add("upstream", router_.FindUpstreamName(change.upstream))
            .Add("state", change.has_begun ? "begun" : "ended")
            .Add("refusal", ToString(change.refusal))
            .Add("observed_by",
                 change.source == observer::kSelf ? "self" : "peer")
            .Add("age_ms", change.age));
  }
}

void edge_task::ReportLoad(time_point now) {
  LogRefusalChanges();
  // An empty report replaces the last one that was not empty.
  std::vector<upstream_observation> observed = router_.ListObservations(now);
  const bool has_observations = !observed.empty();
  if (std::exchange(has_reported_observations_, has_observations) ||
      has_observations) {
    services_.FindPort<fleet_message>(kFleetService)
        .Post(own_observations{.observations = std::move(observed), .at = now});
  }
  admission_report admissions = router_.ReportAdmissions(now);
  const bool has_admissions = !admissions.IsEmpty();
  if (std::exchange(has_reported_admissions_, has_admissions) ||
      has_admissions) {
    services_.FindPort<fleet_message>(kFleetService)
        .Post(own_admissions{.report = std::move(admissions)});
  }
}

}  // namespace cuminswitch
