#include "cuminswitch/Admission/crash_attribution.h"

#include <algorithm>
#include <bit>
#include <climits>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace cuminswitch {

/// Crashes after which a part is quarantined, and after which one is that
/// completed before.
static constexpr size_t kPartCrashes = 4;
static constexpr size_t kCompletedPartCrashes = 5;
/// How many of them must follow one another. Upstreams that crash together for
/// another reason abort executions that overlap.
static constexpr size_t kPartSequence = 2;

using upstream_set = std::unordered_set<uint64_t>;
/// The position of a request by the upstreams that crashed under it.
using request_map = std::unordered_map<uint64_t, size_t>;

size_t CountInSequence(const std::vector<crashed_start>& crashes) {
  size_t count = 0;
  time_point last{};
  for (const crashed_start& item : crashes) {
    if (item.sent >= last) {
      ++count;
      last = item.at;
    }
  }
  return count;
}

/// Of several requests that may have crashed an upstream, chooses the one under
/// which most crashed.
static request_map MapRequests(std::vector<std::vector<uint64_t>> requests) {
  std::sort(requests.begin(), requests.end(), [](const auto& a, const auto& b) {
    return std::tuple(b.size(), a) < std::tuple(a.size(), b);
  });
  request_map by_upstream;
  for (size_t i = 0; i < requests.size(); ++i) {
    for (const uint64_t upstream : requests[i]) {
      by_upstream.emplace(upstream, i);
    }
  }
  return by_upstream;
}

/// Counts the causes of \p crashes if no part caused them: the crashes under
/// one of \p requests have one cause in common.
static size_t CountCauses(const std::vector<crashed_start>& crashes,
                          const request_map& requests) {
  size_t count = 0;
  std::unordered_set<size_t> counted;
  for (const crashed_start& item : crashes) {
    const auto found = requests.find(item.upstream);
    const bool is_new =
        found == requests.end() || counted.insert(found->second).second;
    count += is_new ? 1 : 0;
  }
  return count;
}

static bool IsEnough(const suspected_part& part,
                     const std::vector<crashed_start>& crashes,
                     const request_map& requests) {
  const size_t needed =
      part.completions > 0 ? kCompletedPartCrashes : kPartCrashes;
  return CountCauses(crashes, requests) >= needed &&
         CountInSequence(crashes) >= kPartSequence;
}

/// Removes the parts whose crashes the others of \p chosen explain, the last
/// one first.
static void RemoveRedundant(std::vector<const suspected_part*>& chosen) {
  for (size_t i = chosen.size(); i-- > 0;) {
    upstream_set others;
    for (size_t j = 0; j < chosen.size(); ++j) {
      if (j != i) {
        for (const crashed_start& item : chosen[j]->crashes) {
          others.insert(item.upstream);
        }
      }
    }
    const auto& crashes = chosen[i]->crashes;
    if (std::all_of(crashes.begin(), crashes.end(),
                    [&](const crashed_start& item) {
                      return others.contains(item.upstream);
                    })) {
      chosen.erase(chosen.begin() + static_cast<ptrdiff_t>(i));
    }
  }
}

/// Numbers of completions of about the same magnitude say nothing.
static unsigned CompletionClass(const suspected_part& part) {
  constexpr unsigned kBitsPerClass = 3;
  const auto bits = static_cast<unsigned>(std::bit_width(part.completions));
  return bits == 0 ? 0 : 1 + bits / kBitsPerClass;
}

/// A part with those of its crashes that no chosen part explains.
struct unexplained_part {
  const suspected_part* part = nullptr;
  std::vector<crashed_start> crashes;
};

/// Returns the part that is the most likely cause. A report of one crash may be
/// missing, so of parts whose numbers of crashes differ by one the deeper one
/// counts as more specific.
static const unexplained_part& ChooseCause(
    const std::vector<unexplained_part>& candidates) {
  unsigned lowest_class = UINT_MAX;
  for (const unexplained_part& item : candidates) {
    lowest_class = std::min(lowest_class, CompletionClass(*item.part));
  }
  size_t most_crashes = 0;
  for (const unexplained_part& item : candidates) {
    if (CompletionClass(*item.part) == lowest_class) {
      most_crashes = std::max(most_crashes, item.crashes.size());
    }
  }
  const auto rank = [&](const unexplained_part& item) {
    const bool is_likely = CompletionClass(*item.part) == lowest_class &&
                           item.crashes.size() + 1 >= most_crashes;
    return std::tuple(is_likely, item.part->depth, item.crashes.size(),
                      item.part->part);
  };
  return *std::max_element(
      candidates.begin(), candidates.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
}

std::vector<hash128> AttributeCrashes(
    std::span<const suspected_part> parts,
    std::vector<std::vector<uint64_t>> requests) {
  const request_map by_upstream = MapRequests(std::move(requests));
  std::vector<unexplained_part> candidates;
  candidates.reserve(parts.size());
  for (const suspected_part& part : parts) {
    candidates.push_back({.part = &part, .crashes = part.crashes});
  }
  std::vector<const suspected_part*> chosen;
  upstream_set explained;
  while (true) {
    std::erase_if(candidates, [&](unexplained_part& item) {
      std::erase_if(item.crashes, [&](const crashed_start& seen) {
        return explained.contains(seen.upstream);
      });
      return !IsEnough(*item.part, item.crashes, by_upstream);
    });
    if (candidates.empty()) {
      break;
    }
    const unexplained_part& cause = ChooseCause(candidates);
    chosen.push_back(cause.part);
    for (const crashed_start& seen : cause.crashes) {
      explained.insert(seen.upstream);
    }
  }
  RemoveRedundant(chosen);
  std::vector<hash128> found;
  found.reserve(chosen.size());
  for (const suspected_part* part : chosen) {
    found.push_back(part->part);
  }
  return found;
}

}  // namespace cuminswitch
