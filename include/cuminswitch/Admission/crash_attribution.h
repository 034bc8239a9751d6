/// \file
/// Finds the parts of prompts that crash upstreams.
#ifndef CUMINSWITCH_ADMISSION_CRASH_ATTRIBUTION_H_
#define CUMINSWITCH_ADMISSION_CRASH_ATTRIBUTION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// A start of an upstream that crashed while it executed a request.
struct crashed_start {
  uint64_t upstream = 0;
  /// When the execution was sent, and when it ended.
  time_point sent{};
  time_point at{};
};

/// Returns the largest number of crashes whose executions don't overlap.
/// \p crashes are ordered by their time.
size_t CountInSequence(const std::vector<crashed_start>& crashes);

/// A part of prompts, and the crashes under requests with it.
struct suspected_part {
  hash128 part;
  /// The crashes since a request with it completed, ordered by their time.
  std::vector<crashed_start> crashes;
  /// How many requests with it completed recently, as far as is known.
  uint32_t completions = 0;
  /// Its position in prompts, as far as is known.
  size_t depth = 0;
};

/// Returns a small set of parts that explains the crashes. A part counts if
/// several upstreams crashed under it that no part chosen before explains, and
/// more requests than a few would have to crash upstreams themselves otherwise:
/// \p requests lists the sorted upstreams that crashed under each request under
/// which several did. All that crashed under one of them count once.
///
/// Parts that many requests share are aborted beside others all the time. So
/// parts with few completions are chosen first, then those with most crashes.
std::vector<hash128> AttributeCrashes(
    std::span<const suspected_part> parts,
    std::vector<std::vector<uint64_t>> requests);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_CRASH_ATTRIBUTION_H_
