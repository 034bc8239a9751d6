/// \file
/// This daemon's estimate of which replicas have which prefixes cached.
#ifndef CUMINSWITCH_ROUTING_PREFIX_INDEX_H_
#define CUMINSWITCH_ROUTING_PREFIX_INDEX_H_

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Routing/replica_table.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// A replica that probably has a prefix cached.
struct prefix_holder {
  replica_index index = 0;
  /// The engine incarnation that computed the prefix. A later incarnation has
  /// lost it.
  uint64_t incarnation = 0;
  time_point used_at{};
};

/// Returns the innermost level whose cached prefix other requests can use too:
/// the last but one, since the last level is the whole prompt. Returns null
/// when there is none.
inline const prefix_level* FindSharedLevel(
    std::span<const prefix_level> levels) {
  return levels.size() >= 2 ? &levels[levels.size() - 2] : nullptr;
}

/// Returns the entry of replica \p index in its current \p incarnation, or
/// null.
const prefix_holder* FindHolder(std::span<const prefix_holder> holders,
                                replica_index index,
                                uint64_t incarnation);

/// A bounded map from prefix hash to its holders. Hashes carry workspace,
/// model, version and adapter, so an entry can never serve another of them.
/// Entries are evicted by generation: there are two maps, and the older one is
/// dropped when the newer one is full. This makes lookups constant-time and
/// needs no LRU list.
class prefix_index {
 public:
  struct options {
    /// Maximum number of prefixes.
    size_t capacity = 131'072;
  };

  explicit prefix_index(const options& opts);

  /// Records that \p holder has computed or used \p hash.
  void Touch(uint64_t hash, const prefix_holder& holder);
  /// Returns the probable holders of \p hash. The span is invalidated by the
  /// next call.
  std::span<const prefix_holder> Find(uint64_t hash);
  /// Records that \p hash, as computed by \p weights, is being saved to the
  /// cache store.
  void RecordSaved(time_point now, uint64_t hash, weights_tag weights);
  /// Returns whether \p hash was saved so recently that the store should still
  /// hold it.
  bool WasSaved(time_point now, uint64_t hash, weights_tag weights);
  /// Counts one use of \p hash by a request.
  void CountUse(time_point now, uint64_t hash);
  /// Returns the exponentially decayed number of uses of \p hash, with a time
  /// constant of a few seconds.
  double RecentUses(time_point now, uint64_t hash);
  size_t size() const { return newer_.size() + older_.size(); }

 private:
  struct entry {
    std::vector<prefix_holder> holders;
    /// Decayed count of uses, as of `counted_at`.
    double uses = 0;
    time_point counted_at{};
    time_point saved_at{};
    /// The weights that computed the prefix when it was last saved.
    weights_tag saved_weights = kNoWeights;
  };
  using entry_map = std::unordered_map<uint64_t, entry>;

  entry* Promote(uint64_t hash);
  entry& FindOrAdd(uint64_t hash);
  void RotateIfFull();

  options options_;
  entry_map newer_;
  entry_map older_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_PREFIX_INDEX_H_
