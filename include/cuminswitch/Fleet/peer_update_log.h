/// \file
/// What each peer is still to be told.
#ifndef CUMINSWITCH_FLEET_PEER_UPDATE_LOG_H_
#define CUMINSWITCH_FLEET_PEER_UPDATE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <vector>

#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// Keeps this daemon's latest news of one kind, and for each peer how far it
/// was told. A large fleet is told in turns, over several rounds; with only the
/// latest round's news in each beat, a peer would learn one in four. Keeps, and
/// so tells in one frame, at most \p Capacity.
template <class Item, size_t Capacity>
class peer_update_log {
 public:
  static constexpr size_t kCapacity = Capacity;

  void Add(std::span<const Item> items) {
    kept_.insert(kept_.end(), items.begin(), items.end());
    if (kept_.size() <= kCapacity) {
      return;
    }
    const size_t excess = kept_.size() - kCapacity;
    kept_.erase(kept_.begin(),
                kept_.begin() + static_cast<std::ptrdiff_t>(excess));
    first_ += excess;
    std::erase_if(told_,
                  [&](const auto& item) { return item.second <= first_; });
  }

  /// Returns what \p peer was not told yet, and counts it as told.
  std::vector<Item> TakeFor(const endpoint& peer) {
    const uint64_t end = first_ + kept_.size();
    const auto found = told_.find(peer);
    const uint64_t from = found == told_.end() ? first_ : found->second;
    if (from == end) {
      return {};
    }
    told_[peer] = end;
    return {kept_.begin() + static_cast<std::ptrdiff_t>(from - first_),
            kept_.end()};
  }

 private:
  std::deque<Item> kept_;
  /// Number of the first one that is kept.
  uint64_t first_ = 0;
  /// The number up to which each peer was told. One that was told nothing of
  /// what is kept has no entry.
  std::map<endpoint, uint64_t> told_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_PEER_UPDATE_LOG_H_
