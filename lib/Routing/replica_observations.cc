// What the daemons observe of upstreams and tell one another.
#include "cuminswitch/Routing/replica_table.h"

namespace cuminswitch {

void replica_table::StartPooling(uint64_t seed) {
  if (!observations_) {
    observations_.emplace(observation_table::options{.seed = seed});
    observations_->SetFleetSize(fleet_size_);
  }
}

void replica_table::OnObservation(time_point now,
                                  const upstream_observation& seen,
                                  observer who) {
  const std::optional<replica_index> index = FindByHash(seen.upstream);
  if (!observations_ || !index) {
    return;
  }
  observations_->Record(now, seen, who);
}

void replica_table::ExpireObservations(time_point now) {
  if (observations_) {
    observations_->Expire(now);
  }
}

std::optional<time_point> replica_table::HeldUntil(time_point now,
                                                   const replica& item) const {
  if (!observations_) {
    return std::nullopt;
  }
  const std::optional<time_point> until =
      observations_->HeldUntil(item.name_hash, item.incarnation);
  // One request at a time tries an upstream that refused.
  if (!until || (now >= *until && item.waiting == 0)) {
    return std::nullopt;
  }
  return until;
}

bool replica_table::IsTrial(replica_index index) const {
  const replica& item = replicas_[index];
  return observations_ &&
         observations_->HeldUntil(item.name_hash, item.incarnation);
}

}  // namespace cuminswitch
