/// \file
/// Log of updates with a cursor for each peer.
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

/// Holds this daemon's latest updates of one kind, at most \p Capacity of them,
/// and for each peer up to which one they were sent. In a large fleet one peer
/// gets a heartbeat only every few rounds; if heartbeats carried only the
/// updates of their own round, a peer would get one in four. \p Capacity also
/// bounds the updates in one frame.
template <class Item, size_t Capacity>
class peer_update_log {
 public:
  static constexpr size_t kCapacity = Capacity;

  void Add(std::span<const Item> items) {
    items_.insert(items_.end(), items.begin(), items.end());
    if (items_.size() <= kCapacity) {
      return;
    }
    const size_t excess = items_.size() - kCapacity;
    items_.erase(items_.begin(),
                 items_.begin() + static_cast<std::ptrdiff_t>(excess));
    first_number_ += excess;
    std::erase_if(cursors_, [&](const auto& item) {
      return item.second <= first_number_;
    });
  }

  /// Returns the items that were not sent to \p peer yet, and counts them as
  /// sent.
  std::vector<Item> TakeFor(const endpoint& peer) {
    const uint64_t end = first_number_ + items_.size();
    const auto found = cursors_.find(peer);
    const uint64_t from =
        found == cursors_.end() ? first_number_ : found->second;
    if (from == end) {
      return {};
    }
    cursors_[peer] = end;
    return {items_.begin() + static_cast<std::ptrdiff_t>(from - first_number_),
            items_.end()};
  }

 private:
  std::deque<Item> items_;
  /// Number of the first item in `items_`; items are numbered from 0 on.
  uint64_t first_number_ = 0;
  /// For each peer, the number after the last item that was sent to it. A peer
  /// that got none of those in `items_` has no entry.
  std::map<endpoint, uint64_t> cursors_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_PEER_UPDATE_LOG_H_
