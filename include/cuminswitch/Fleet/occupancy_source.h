/// \file
/// How busy upstreams are.
#ifndef CUMINSWITCH_FLEET_OCCUPANCY_SOURCE_H_
#define CUMINSWITCH_FLEET_OCCUPANCY_SOURCE_H_

#include <optional>
#include <string_view>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Tells how busy upstreams are.
class occupancy_source {
 public:
  virtual ~occupancy_source() = default;
  /// Returns the requests that \p upstream runs and has waiting, relative to
  /// its slots; empty if nothing recent is known.
  virtual std::optional<double> OccupancyOf(
      time_point now,
      std::string_view upstream) const = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_OCCUPANCY_SOURCE_H_
