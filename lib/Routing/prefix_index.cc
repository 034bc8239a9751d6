#include "cuminswitch/Routing/prefix_index.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminswitch {

/// Maximum number of holders stored per prefix: a prefix with this many holders
/// is spread widely enough.
static constexpr size_t kMaxHolders = 16;
/// Time constant of the decay of a prefix's use count, in seconds.
static constexpr double kUseDecaySeconds = 5;
/// Time after which a saved prefix is saved again. A prefix in use is copied
/// from the store from time to time, which keeps it there; it is saved again
/// only because a store may lose data. With 15 s, saving 800 shared prefixes
/// again took half of the link capacity of three stores.
static constexpr duration kSavedLifetime = std::chrono::seconds(30);

const prefix_holder* FindHolder(std::span<const prefix_holder> holders,
                                replica_index index,
                                uint64_t incarnation) {
  const auto found = std::find_if(
      holders.begin(), holders.end(), [&](const prefix_holder& item) {
        return item.index == index && item.incarnation == incarnation;
      });
  return found == holders.end() ? nullptr : &*found;
}

prefix_index::prefix_index(const options& opts) : options_(opts) {}

void prefix_index::RotateIfFull() {
  if (newer_.size() < options_.capacity / 2) {
    return;
  }
  older_ = std::move(newer_);
  newer_.clear();
}

prefix_index::entry* prefix_index::Promote(uint64_t hash) {
  if (const auto found = newer_.find(hash); found != newer_.end()) {
    return &found->second;
  }
  const auto found = older_.find(hash);
  if (found == older_.end()) {
    return nullptr;
  }
  entry moved = std::move(found->second);
  older_.erase(found);
  RotateIfFull();
  return &(newer_[hash] = std::move(moved));
}

prefix_index::entry& prefix_index::FindOrAdd(uint64_t hash) {
  if (entry* found = Promote(hash)) {
    return *found;
  }
  RotateIfFull();
  return newer_[hash];
}

void prefix_index::Touch(uint64_t hash, const prefix_holder& holder) {
  std::vector<prefix_holder>& holders = FindOrAdd(hash).holders;
  for (prefix_holder& item : holders) {
    if (item.index == holder.index) {
      item = holder;
      return;
    }
  }
  if (holders.size() < kMaxHolders) {
    holders.push_back(holder);
    return;
  }
  *std::min_element(holders.begin(), holders.end(),
                    [](const prefix_holder& a, const prefix_holder& b) {
                      return a.used_at < b.used_at;
                    }) = holder;
}

std::span<const prefix_holder> prefix_index::Find(uint64_t hash) {
  const entry* found = Promote(hash);
  if (found == nullptr) {
    return {};
  }
  return found->holders;
}

double prefix_index::RecentUses(time_point now, uint64_t hash) {
  const entry* found = Promote(hash);
  if (found == nullptr) {
    return 0;
  }
  const double age = std::max(0.0, ToSeconds(now - found->counted_at));
  return found->uses * std::exp(-age / kUseDecaySeconds);
}

void prefix_index::RecordSaved(time_point now,
                               uint64_t hash,
                               weights_tag weights) {
  entry& found = FindOrAdd(hash);
  found.saved_at = now;
  found.saved_weights = weights;
}

bool prefix_index::WasSaved(time_point now,
                            uint64_t hash,
                            weights_tag weights) {
  const entry* found = Promote(hash);
  return found != nullptr && found->saved_at != time_point() &&
         found->saved_weights == weights &&
         now - found->saved_at < kSavedLifetime;
}

void prefix_index::CountUse(time_point now, uint64_t hash) {
  const double uses = RecentUses(now, hash);
  entry& found = FindOrAdd(hash);
  found.uses = uses + 1;
  found.counted_at = now;
}

}  // namespace cuminswitch
