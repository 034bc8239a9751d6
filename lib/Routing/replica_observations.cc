// What the daemons observe of upstreams and tell one another.
#include "cuminswitch/Routing/replica_table.h"
#include "cuminswitch/Routing/upstream_incarnation.h"

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
  replica& item = replicas_[*index];
  if (item.incarnation == seen.incarnation) {
    // It is most likely another process if it refuses the newest weights too.
    if (who == observer::kSelf && seen.refusal == upstream_refusal::kMismatch) {
      if (const auto newest = NewestModels(item)) {
        AssumeModels(now, item, *newest);
      }
    }
    return;
  }
  if (seen.refusal == upstream_refusal::kNone) {
    const auto newest = NewestModels(item);
    if (newest &&
        UpstreamIncarnation(item.started, *newest) == seen.incarnation) {
      AssumeModels(now, item, *newest);
    }
  }
}

void replica_table::ExpireObservations(time_point now) {
  if (observations_) {
    observations_->Expire(now);
  }
}

std::optional<std::vector<loaded_model>> replica_table::NewestModels(
    const replica& item) const {
  // With several models it is unknown which of them has changed.
  if (!item.reported || item.models.size() != 1) {
    return std::nullopt;
  }
  std::vector<loaded_model> models = item.models;
  loaded_model& model = models.front();
  const auto found = by_target_.find(model.name);
  if (found == by_target_.end() || found->second.version.empty() ||
      found->second.version == model.version) {
    return std::nullopt;
  }
  model.version = found->second.version;
  model.tag = TagOf(model.version);
  return models;
}

void replica_table::AssumeModels(time_point now,
                                 replica& item,
                                 const std::vector<loaded_model>& models) {
  if (item.reported_incarnation == 0) {
    item.reported_incarnation = item.incarnation;
  }
  item.models = models;
  item.incarnation = UpstreamIncarnation(item.started, models);
  item.slow_start_since = now;
  item.limit = InitialLimit(item.spec);
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
