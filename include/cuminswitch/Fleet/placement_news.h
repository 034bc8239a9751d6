/// \file
/// Placements that peers have not been told yet.
#ifndef CUMINSWITCH_FLEET_PLACEMENT_NEWS_H_
#define CUMINSWITCH_FLEET_PLACEMENT_NEWS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <vector>

#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// Keeps this daemon's latest placements, and for each peer how far it was
/// told. A large fleet is told in turns, over several rounds; with only the
/// latest round's placements in each beat, a peer would learn one in four, and
/// daemons would save the same prefix again and again.
class placement_news {
 public:
  /// Placements kept, and so the most that one frame carries. A daemon places
  /// up to 20 in a second and reaches each of 360 peers within 3 s.
  static constexpr size_t kCapacity = 256;

  void Add(std::span<const placed_prefix> placed);
  /// Returns what \p peer was not told yet, and counts it as told.
  std::vector<placed_prefix> TakeFor(const endpoint& peer);

 private:
  std::deque<placed_prefix> kept_;
  /// Number of the first one that is kept.
  uint64_t first_ = 0;
  /// The number up to which each peer was told. One that was told nothing of
  /// what is kept has no entry.
  std::map<endpoint, uint64_t> told_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_PLACEMENT_NEWS_H_
