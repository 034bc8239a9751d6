/// \file
/// Approximate counts of completed requests by digest.
#ifndef CUMINSWITCH_ADMISSION_COMPLETION_COUNTS_H_
#define CUMINSWITCH_ADMISSION_COMPLETION_COUNTS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Counts in constant memory (a count-min sketch): a count may be too large
/// where digests share all their cells, but never too small.
class completion_counts {
 public:
  void Add(const hash128& digest) {
    for (uint32_t* cell :
         {&cells_[Index(digest, 0)], &cells_[Index(digest, 1)]}) {
      ++*cell;
    }
  }
  uint32_t Count(const hash128& digest) const {
    return std::min(cells_[Index(digest, 0)], cells_[Index(digest, 1)]);
  }
  /// Halves all counts, so that old ones fade.
  void Halve() {
    for (uint32_t& cell : cells_) {
      cell /= 2;
    }
  }

 private:
  static constexpr size_t kRowSize = 4096;
  static constexpr size_t kRows = 2;

  static size_t Index(const hash128& digest, size_t row) {
    return row * kRowSize +
           static_cast<size_t>(row == 0 ? digest.low : digest.high) % kRowSize;
  }

  std::vector<uint32_t> cells_ = std::vector<uint32_t>(kRowSize * kRows);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_COMPLETION_COUNTS_H_
