// Selection of the daemons that follow the store.
#include "cuminswitch/Fleet/follower_selection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/peer_frame.h"

namespace cuminswitch {
namespace {

std::vector<daemon_record> MakeFleet(int size, int domains = 2) {
  std::vector<daemon_record> fleet;
  fleet.reserve(static_cast<size_t>(size));
  for (int i = 0; i < size; ++i) {
    fleet.push_back({.name = "d" + std::to_string(i),
                     .failure_domain = "x" + std::to_string(i % domains),
                     .link_rate = 10});
  }
  return fleet;
}

std::vector<std::string> Followers(const std::vector<daemon_record>& fleet) {
  std::vector<std::string> names;
  for (const daemon_record& self : fleet) {
    std::vector<daemon_record> others = fleet;
    std::erase_if(others, [&](const daemon_record& item) {
      return item.name == self.name;
    });
    if (FollowsStore(self, others)) {
      names.push_back(self.name);
    }
  }
  return names;
}

TEST(follower_selection_test, SelectsAllInSmallFleet) {
  EXPECT_EQ(Followers(MakeFleet(12)).size(), 12U);
}

TEST(follower_selection_test, SelectsTwoPerDomainInLargeFleet) {
  EXPECT_EQ(Followers(MakeFleet(40)).size(), 4U);
}

// Guards against store calls that grow with the number of failure domains: with
// many domains, one follower per domain suffices, since followers in the other
// domains can supply the items.
TEST(follower_selection_test, SelectsOnePerDomainWithManyDomains) {
  EXPECT_EQ(Followers(MakeFleet(95, 6)).size(), 6U);
  EXPECT_EQ(Followers(MakeFleet(95, 5)).size(), 10U);
}

// Guards against a follower with a 10 Mbit/s link that sends each configuration
// to twenty other daemons, which delays its callers for seconds.
TEST(follower_selection_test, PrefersHostsWithFastLinks) {
  std::vector<daemon_record> fleet = MakeFleet(40);
  for (const size_t wide : {4U, 5U, 6U, 7U}) {
    fleet[wide].link_rate = 200;
  }
  EXPECT_EQ(Followers(fleet),
            (std::vector<std::string>{"d4", "d5", "d6", "d7"}));
  fleet[4].is_leaving = true;
  EXPECT_EQ(Followers(fleet).size(), 5U) << "the leaving daemon still follows";
}

}  // namespace
}  // namespace cuminswitch
