#include "StandIn/prefix_cache.h"

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

std::vector<uint64_t> prefix_cache::HashBlocks(std::string_view text,
                                               uint64_t scope) {
  constexpr size_t kBlockBytes = size_t{kTokensPerBlock} * kBytesPerToken;
  std::vector<uint64_t> blocks;
  uint64_t hash = scope;
  for (size_t at = 0; at + kBlockBytes <= text.size(); at += kBlockBytes) {
    hash = Hash64(text.substr(at, kBlockBytes), hash);
    blocks.push_back(hash);
  }
  return blocks;
}

void prefix_cache::Expire(clock::time_point now) {
  while (!order_.empty() && (entries_.size() > options_.capacity_blocks ||
                             now - order_.back().used > options_.keep)) {
    entries_.erase(order_.back().hash);
    order_.pop_back();
  }
}

size_t prefix_cache::CountCached(const std::vector<uint64_t>& blocks,
                                 clock::time_point now) {
  Expire(now);
  size_t count = 0;
  while (count < blocks.size() && entries_.contains(blocks[count])) {
    ++count;
  }
  return count;
}

void prefix_cache::Store(const std::vector<uint64_t>& blocks,
                         clock::time_point now) {
  // From the last block to the first, so that a prefix is evicted after the
  // blocks that follow it.
  for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
    const auto found = entries_.find(*it);
    if (found != entries_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      order_.front().used = now;
    } else {
      order_.push_front({.hash = *it, .used = now});
      entries_[*it] = order_.begin();
    }
  }
  Expire(now);
}

void prefix_cache::Clear() {
  order_.clear();
  entries_.clear();
}

}  // namespace cuminswitch
