#include "cuminswitch/Fleet/address_selection.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// One in this many addresses of a response is in another failure domain.
/// Requests to those hosts cross between domains, so they are few.
static constexpr size_t kOtherDomainsDivisor = 16;

namespace {

struct candidate {
  uint64_t weight = 0;
  const daemon_record* host = nullptr;

  friend bool operator>(const candidate& a, const candidate& b) {
    return a.weight > b.weight;
  }
};

}  // namespace

/// Moves the \p count candidates with the greatest weights to the front, in
/// unspecified order.
static void MoveHighestToFront(std::vector<candidate>& candidates,
                               size_t count) {
  const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(
                                            std::min(count, candidates.size()));
  if (end != candidates.end()) {
    std::nth_element(candidates.begin(), end, candidates.end(),
                     std::greater<>());
  }
}

std::vector<endpoint> ChooseAddresses(std::span<const daemon_record> serving,
                                      const address_query& query) {
  std::vector<candidate> own;
  std::vector<candidate> others;
  for (const daemon_record& host : serving) {
    const bool is_own = host.failure_domain == query.failure_domain;
    (is_own ? own : others)
        .push_back({.weight = RendezvousWeight(query.caller, Hash64(host.name)),
                    .host = &host});
  }
  const size_t reserved =
      std::min(others.size(), query.max_count / kOtherDomainsDivisor);
  const size_t own_count = std::min(own.size(), query.max_count - reserved);
  const size_t others_count =
      std::min(others.size(), query.max_count - own_count);
  MoveHighestToFront(own, own_count);
  MoveHighestToFront(others, others_count);
  std::vector<endpoint> addresses;
  for (const auto& [list, count] :
       {std::pair(&own, own_count), std::pair(&others, others_count)}) {
    for (const candidate& item : std::span(*list).first(count)) {
      addresses.push_back(item.host->caller_address);
    }
  }
  return addresses;
}

}  // namespace cuminswitch
