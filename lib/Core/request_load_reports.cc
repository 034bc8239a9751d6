// What the router exchanges with peers about upstreams and admissions.
#include "cuminswitch/Core/request_router.h"

namespace cuminswitch {

void request_router::OnPeerObservations(
    time_point /*now*/,
    std::span<const upstream_observation> /*observations*/) {}

std::vector<upstream_observation> request_router::ListObservations(
    time_point /*now*/) const {
  return {};
}

void request_router::OnPeerAdmissions(time_point now,
                                      const std::string& peer,
                                      const admission_report& report) {
  if (options_.is_capacity_scarce) {
    pressure_.OnPeer(now, peer, report.pressures);
  }
}

admission_report request_router::TakeAdmissionReport(time_point now) {
  if (!options_.is_capacity_scarce) {
    return {};
  }
  return {.demands = {}, .pressures = pressure_.Report(now), .promises = {}};
}

}  // namespace cuminswitch
