#include "cuminswitch/Edge/peer_selection.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <tuple>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Some peers may have lost the upstreams too, which their heartbeats do not
/// say yet.
static constexpr size_t kMaxPeersTried = 3;

std::vector<forward_target> ChooseForwardTargets(
    std::span<const daemon_record> peers,
    std::string_view service,
    std::string_view attempt) {
  struct candidate {
    bool is_stopping = false;
    uint64_t order = 0;
    const daemon_record* record = nullptr;
  };
  std::vector<candidate> candidates;
  const uint64_t service_hash = Hash64(service);
  for (const daemon_record& item : peers) {
    const auto& lost = item.lost_services;
    if (item.is_ready &&
        std::find(lost.begin(), lost.end(), service_hash) == lost.end()) {
      candidates.push_back({.is_stopping = item.is_leaving,
                            .order = Hash64(item.name, Hash64(attempt)),
                            .record = &item});
    }
  }
  const size_t count = std::min(kMaxPeersTried, candidates.size());
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<ptrdiff_t>(count),
      candidates.end(), [](const candidate& a, const candidate& b) {
        return std::tie(a.is_stopping, a.order) <
               std::tie(b.is_stopping, b.order);
      });
  std::vector<forward_target> chosen;
  for (size_t i = 0; i < count; ++i) {
    const daemon_record& peer = *candidates[i].record;
    chosen.push_back(
        {.name = peer.name, .caller_address = peer.caller_address});
  }
  return chosen;
}

}  // namespace cuminswitch
