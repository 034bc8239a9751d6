/// \file
/// Pools what daemons observe of how busy upstreams are.
#ifndef CUMINSWITCH_FLEET_OBSERVED_OCCUPANCY_H_
#define CUMINSWITCH_FLEET_OBSERVED_OCCUPANCY_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>

#include "cuminswitch/Fleet/occupancy_source.h"
#include "cuminswitch/Protocol/upstream_observation.h"

namespace cuminswitch {

/// Keeps the newest load figure of each upstream, of whichever daemon saw it.
class observed_occupancy : public occupancy_source {
 public:
  /// Adds observations whose ages are as of \p at.
  void Add(time_point at, std::span<const upstream_observation> observations);
  std::optional<double> OccupancyOf(time_point now,
                                    std::string_view upstream) const override;

 private:
  struct figure {
    double occupancy = 0;
    time_point at{};
  };

  /// Drops outdated figures, so that those of removed upstreams do not pile up.
  void Expire(time_point now);

  /// By the hash of the upstream's name.
  std::unordered_map<uint64_t, figure> figures_;
  time_point next_expiry_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_OBSERVED_OCCUPANCY_H_
