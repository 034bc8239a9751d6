// What the router exchanges with peers about upstreams and admissions.
#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Routing/cache_planner.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

std::string_view request_router::FindUpstreamName(uint64_t hash) const {
  const std::optional<replica_index> index = replicas_.FindByHash(hash);
  return index ? std::string_view(replicas_[*index].spec.name)
               : std::string_view();
}

void request_router::StartPooling() {
  replicas_.StartPooling(Hash64(options_.self.host, options_.self.incarnation));
}

void request_router::OnPeerObservations(
    time_point now,
    std::span<const upstream_observation> observations) {
  for (const upstream_observation& item : observations) {
    if (item.work_percent != 0) {
      StartPooling();
    }
    replicas_.OnObservation(now, item, observer::kPeer);
  }
}

void request_router::Observe(time_point now,
                             const attempt& from,
                             upstream_refusal refusal,
                             const upstream_observation& load) {
  upstream_observation seen = load;
  seen.upstream = replicas_[from.index].name_hash;
  seen.incarnation = from.incarnation;
  seen.refusal = refusal;
  replicas_.OnObservation(now, seen, observer::kSelf);
}

void request_router::OnResponse(time_point now,
                                attempt_id attempt,
                                const upstream_observation& load) {
  if (load.work_percent != 0) {
    StartPooling();
  }
  if (const auto* running = FindAttempt(attempt)) {
    Observe(now, *running, upstream_refusal::kNone, load);
  }
}

std::vector<refusal_change> request_router::TakeRefusalChanges() {
  return replicas_.observations() ? replicas_.observations()->TakeChanges()
                                  : std::vector<refusal_change>();
}

std::vector<upstream_observation> request_router::ListObservations(
    time_point now) const {
  return replicas_.observations() ? replicas_.observations()->ListOwn(now)
                                  : std::vector<upstream_observation>();
}

void request_router::OnPeerAdmissions(time_point now,
                                      const std::string& peer,
                                      const admission_report& report) {
  if (options_.is_capacity_scarce) {
    pressure_.OnPeer(now, peer, report.pressures);
  }
}

admission_report request_router::ReportAdmissions(time_point now) const {
  if (!options_.is_capacity_scarce) {
    return {};
  }
  return {.pressures = pressure_.Report(now)};
}

void request_router::OnPeerPlacements(time_point now,
                                      const peer_placements& report) {
  replicas_.OnPeerPlacements(now, report);
  prompt_lengths_.OnPeer(now, report.peer, report.mix);
  for (const placed_prefix& item : report.prefixes) {
    if (const auto index = replicas_.FindByHash(item.upstream)) {
      RecordPeerPlacement(now, *index, item);
    }
    if (item.saved_weights != kNoWeights) {
      prefixes_.RecordSaved(now, item.prefix, item.saved_weights);
    }
  }
}

void request_router::RecordPeerPlacement(time_point now,
                                         replica_index index,
                                         const placed_prefix& placed) {
  // The peer may know of a later incarnation of the upstream (a restart or new
  // weights), or not yet of the current one. Nothing placed at an earlier
  // incarnation is cached any more, so it must not replace what is known of the
  // current one.
  const uint64_t present = replicas_[index].incarnation;
  if (placed.incarnation != present &&
      FindHolder(prefixes_.Find(placed.prefix), index, present) != nullptr) {
    return;
  }
  prefixes_.Touch(
      placed.prefix,
      {.index = index, .incarnation = placed.incarnation, .used_at = now});
}

void request_router::OnUpstreamLoad(time_point now, const upstream_load& load) {
  replicas_.OnLoad(now, load);
}

void request_router::OnUpstreamChanging(const upstream_changing& event) {
  replicas_.SetChanging(event);
}

}  // namespace cuminswitch
