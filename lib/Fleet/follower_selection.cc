#include "cuminswitch/Fleet/follower_selection.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// In a fleet of up to this size each daemon follows the store; the calls are
/// a few hundred in a minute.
static constexpr size_t kSmallFleetSize = 12;
/// Two, so that the loss of one is not noticed. Where there are so many
/// domains, one: those of the other domains are asked until another one
/// follows.
static constexpr size_t kFollowersPerDomain = 2;
static constexpr size_t kDomainsForSingleFollower = 6;

static size_t CountDomains(const daemon_record& self,
                           std::span<const daemon_record> living) {
  std::set<std::string_view> domains = {self.failure_domain};
  for (const daemon_record& item : living) {
    domains.insert(item.failure_domain);
  }
  return domains.size();
}

size_t FollowersPerDomain(const daemon_record& self,
                          std::span<const daemon_record> living) {
  return CountDomains(self, living) >= kDomainsForSingleFollower
             ? 1
             : kFollowersPerDomain;
}

bool RanksFirst(const daemon_record& self,
                std::span<const daemon_record> others,
                size_t places) {
  const auto rank = [](const daemon_record& item) {
    return std::pair(item.link_rate, Hash64(item.name));
  };
  const auto before = std::count_if(
      others.begin(), others.end(), [&](const daemon_record& item) {
        return item.failure_domain == self.failure_domain && !item.is_leaving &&
               rank(item) > rank(self);
      });
  return static_cast<size_t>(before) < places;
}

bool FollowsStore(const daemon_record& self,
                  std::span<const daemon_record> living) {
  return living.size() + 1 <= kSmallFleetSize ||
         RanksFirst(self, living, FollowersPerDomain(self, living));
}

}  // namespace cuminswitch
