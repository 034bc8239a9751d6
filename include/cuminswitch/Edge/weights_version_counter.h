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
#include <utility>

#include "cuminswitch/Fleet/fleet_snapshot.h"

namespace cuminswitch {

/// Counts the upstreams of each service with each version of each model,
/// updated incrementally.
///
/// What an upstream states is evidence about this upstream only: a faulty one
/// may state any version. So no single one decides which version the others
/// should have.
class weights_version_counter {
 public:
  /// Adds or removes an upstream of \p service that has \p weights.
  void Add(std::string_view service, std::span<const weights_version> weights);
  void Remove(std::string_view service,
              std::span<const weights_version> weights);
  /// Returns the version of \p model that most upstreams of \p service have,
  /// the oldest of several; 0 if there are none.
  uint64_t MostCommon(std::string_view service, std::string_view model) const;
  /// Number of times the most common version of any model has changed.
  uint64_t changes() const { return changes_; }

 private:
  /// Number of upstreams by version.
  using version_counts = std::map<uint64_t, size_t>;

  static uint64_t MostCommon(const version_counts& counts);

  /// By service and model.
  std::map<std::pair<std::string, std::string>, version_counts> counts_;
  uint64_t changes_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_WEIGHTS_VERSION_COUNTER_H_
