#include "cuminswitch/Routing/prefix_index.h"

#include <algorithm>
#include <utility>

namespace cuminswitch {

/// Holders kept per prefix; a hotter one is spread wide enough by then.
static constexpr size_t kMaxHolders = 16;

prefix_index::prefix_index(const options& opts) : options_(opts) {}

void prefix_index::RotateIfFull() {
  if (newer_.size() < options_.capacity / 2) {
    return;
  }
  older_ = std::move(newer_);
  newer_.clear();
}

std::vector<prefix_holder>* prefix_index::Promote(uint64_t hash) {
  if (const auto found = newer_.find(hash); found != newer_.end()) {
    return &found->second;
  }
  const auto found = older_.find(hash);
  if (found == older_.end()) {
    return nullptr;
  }
  std::vector<prefix_holder> holders = std::move(found->second);
  older_.erase(found);
  RotateIfFull();
  return &(newer_[hash] = std::move(holders));
}

void prefix_index::Touch(uint64_t hash, const prefix_holder& holder) {
  std::vector<prefix_holder>* holders = Promote(hash);
  if (holders == nullptr) {
    RotateIfFull();
    newer_[hash] = {holder};
    return;
  }
  for (prefix_holder& item : *holders) {
    if (item.index == holder.index) {
      item = holder;
      return;
    }
  }
  if (holders->size() < kMaxHolders) {
    holders->push_back(holder);
    return;
  }
  *std::min_element(holders->begin(), holders->end(),
                    [](const prefix_holder& a, const prefix_holder& b) {
                      return a.used_at < b.used_at;
                    }) = holder;
}

void prefix_index::Remove(uint64_t hash, replica_index index) {
  std::vector<prefix_holder>* holders = Promote(hash);
  if (holders == nullptr) {
    return;
  }
  std::erase_if(*holders, [index](const prefix_holder& item) {
    return item.index == index;
  });
}

std::span<const prefix_holder> prefix_index::Find(uint64_t hash) {
  const std::vector<prefix_holder>* holders = Promote(hash);
  if (holders == nullptr) {
    return {};
  }
  return *holders;
}

}  // namespace cuminswitch
