#include "cuminswitch/Daemon/address_book.h"

#include <algorithm>
#include <set>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// Seed that makes this ranking independent of other uses of rendezvous
/// hashing.
static constexpr uint64_t kAddressHashSeed = 0xadd2e55;

std::vector<const member*> address_book::Choose(std::string_view workspace,
                                                size_t count) const {
  const uint64_t key = Hash64(workspace, kAddressHashSeed);
  const auto weight = [key](const member* item) {
    return RendezvousWeight(key, Hash64(item->host));
  };
  std::vector<const member*> ranked;
  for (const member& item : members_) {
    if (item.IsServing()) {
      ranked.push_back(&item);
    }
  }
  std::sort(
      ranked.begin(), ranked.end(),
      [&](const member* a, const member* b) { return weight(a) > weight(b); });
  // The best host of each failure domain first, then the rest, so that a caller
  // still has an address when a whole domain fails.
  std::set<std::string_view> seen;
  std::stable_partition(ranked.begin(), ranked.end(), [&](const member* item) {
    return seen.insert(item->failure_domain).second;
  });
  ranked.resize(std::min(ranked.size(), count));
  return ranked;
}

}  // namespace cuminswitch
