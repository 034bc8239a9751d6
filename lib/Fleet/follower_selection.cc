#include "cuminswitch/Fleet/follower_selection.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// In a fleet of up to this size every daemon follows the store, which makes a
/// few hundred calls per minute.
static constexpr size_t kSmallFleetSize = 12;
/// Two, so that the failure of one follower has no effect. With at least
/// `kDomainsForSingleFollower` domains one suffices: followers in other domains
/// supply the items until another daemon takes over.
static constexpr size_t kFollowersPerDomain = 2;
static constexpr size_t kDomainsForSingleFollower = 6;

static size_t CountDomains(const daemon_record& self,
                           std::span<const daemon_record> alive) {
  std::set<std::string_view> domains = {self.failure_domain};
  for (const daemon_record& item : alive) {
    domains.insert(item.failure_domain);
  }
  return domains.size();
}

size_t FollowersPerDomain(const daemon_record& self,
                          std::span<const daemon_record> alive) {
  return CountDomains(self, alive) >= kDomainsForSingleFollower
             ? 1
             : kFollowersPerDomain;
}

bool RanksFirst(const daemon_record& self,
                std::span<const daemon_record> others,
                size_t count) {
  const auto rank = [](const daemon_record& item) {
    return std::pair(item.link_rate, Hash64(item.name));
  };
  const auto before = std::count_if(
      others.begin(), others.end(), [&](const daemon_record& item) {
        return item.failure_domain == self.failure_domain && !item.is_leaving &&
               rank(item) > rank(self);
      });
  return static_cast<size_t>(before) < count;
}

bool FollowsStore(const daemon_record& self,
                  std::span<const daemon_record> alive) {
  return alive.size() + 1 <= kSmallFleetSize ||
         RanksFirst(self, alive, FollowersPerDomain(self, alive));
}

}  // namespace cuminswitch
