/// \file
/// Tracks which versions of models' weights the upstreams have.
#ifndef CUMINSWITCH_EDGE_WEIGHTS_VERSION_COUNTER_H_
#define CUMINSWITCH_EDGE_WEIGHTS_VERSION_COUNTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "cuminswitch/Fleet/fleet_snapshot.h"

namespace cuminswitch {

/// Counts the upstreams with each version of each model, updated incrementally.
class weights_version_counter {
 public:
  void Add(std::span<const weights_version> weights);
  void Remove(std::span<const weights_version> weights);
  /// Returns the newest version of \p model that any upstream has; 0 for none.
  uint64_t Newest(std::string_view model) const;
  /// Number of times the newest version of any model has changed.
  uint64_t newest_changes() const { return newest_changes_; }

 private:
  std::map<std::string, std::map<uint64_t, size_t>, std::less<>> counts_;
  uint64_t newest_changes_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_WEIGHTS_VERSION_COUNTER_H_
