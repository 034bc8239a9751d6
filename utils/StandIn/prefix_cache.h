/// \file
/// Model of an engine's prefix cache: a bounded set of block hashes with LRU
/// eviction, from which blocks also expire after a time without use.
#ifndef CUMINSWITCH_UTILS_STANDIN_PREFIX_CACHE_H_
#define CUMINSWITCH_UTILS_STANDIN_PREFIX_CACHE_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cuminswitch {

class prefix_cache {
 public:
  struct options {
    size_t capacity_blocks = 4096;
    /// Blocks that were unused for longer are dropped.
    std::chrono::milliseconds keep{10'000};
  };
  using clock = std::chrono::steady_clock;

  static constexpr uint32_t kTokensPerBlock = 64;
  static constexpr uint32_t kBytesPerToken = 4;

  explicit prefix_cache(const options& opts) : options_(opts) {}

  /// Returns the hash of each full block of \p text, chained from \p scope so
  /// that it covers all text before it. An incomplete last block is left out.
  static std::vector<uint64_t> HashBlocks(std::string_view text,
                                          uint64_t scope);

  /// Returns the number of leading \p blocks that are cached at \p now.
  size_t CountCached(const std::vector<uint64_t>& blocks,
                     clock::time_point now);
  /// Inserts all blocks, or marks them as used at \p now.
  void Store(const std::vector<uint64_t>& blocks, clock::time_point now);
  void Clear();
  size_t size() const { return entries_.size(); }

 private:
  struct entry {
    uint64_t hash = 0;
    clock::time_point used;
  };

  void Expire(clock::time_point now);

  options options_;
  /// Most recently used first.
  std::list<entry> order_;
  std::unordered_map<uint64_t, std::list<entry>::iterator> entries_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_STANDIN_PREFIX_CACHE_H_
