#include "cuminswitch/Fleet/placement_news.h"

#include <algorithm>

namespace cuminswitch {

void placement_news::Add(std::span<const placed_prefix> placed) {
  kept_.insert(kept_.end(), placed.begin(), placed.end());
  if (kept_.size() <= kCapacity) {
    return;
  }
  const size_t excess = kept_.size() - kCapacity;
  kept_.erase(kept_.begin(),
              kept_.begin() + static_cast<std::ptrdiff_t>(excess));
  first_ += excess;
  std::erase_if(told_, [&](const auto& item) { return item.second <= first_; });
}

std::vector<placed_prefix> placement_news::TakeFor(const endpoint& peer) {
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

}  // namespace cuminswitch
