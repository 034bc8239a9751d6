#include "cuminswitch/Daemon/address_book.h"

#include <algorithm>
#include <set>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// Separates this use of rendezvous hashing from the others.
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
  // First the best of each failure domain, then the rest, so that a caller
  // that loses a domain has an address in another.
  std::set<std::string_view> seen;
  std::stable_partition(ranked.begin(), ranked.end(), [&](const member* item) {
    return seen.insert(item->failure_domain).second;
  });
  ranked.resize(std::min(ranked.size(), count));
  return ranked;
}

}  // namespace cuminswitch
