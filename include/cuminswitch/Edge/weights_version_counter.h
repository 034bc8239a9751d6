/// \file
/// Which versions of which models upstreams hold.
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

/// Counts the upstreams with each version, one change at a time.
class weights_version_counter {
 public:
  void Add(std::span<const weights_version> held);
  void Remove(std::span<const weights_version> held);
  /// The newest version of \p model that any upstream has; 0 for none.
  uint64_t Newest(std::string_view model) const;
  /// How often the newest version of any model became another one.
  uint64_t newest_changes() const { return newest_changes_; }

 private:
  std::map<std::string, std::map<uint64_t, size_t>, std::less<>> counts_;
  uint64_t newest_changes_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_WEIGHTS_VERSION_COUNTER_H_
