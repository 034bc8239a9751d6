#include "cuminswitch/Daemon/address_book.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace cuminswitch {
namespace {

std::vector<member> MakeMembers() {
  std::vector<member> members;
  members.reserve(8);
  for (int i = 0; i < 8; ++i) {
    members.push_back({.host = "h" + std::to_string(i),
                       .failure_domain = "d" + std::to_string(i % 4),
                       .incarnation = 1});
  }
  return members;
}

TEST(AddressBookTest, SecondAddressIsInAnotherFailureDomain) {
  address_book book;
  book.SetMembers(MakeMembers());
  for (int i = 0; i < 100; ++i) {
    const auto chosen = book.Choose("workspace-" + std::to_string(i), 3);
    ASSERT_EQ(chosen.size(), 3U);
    EXPECT_NE(chosen[0]->failure_domain, chosen[1]->failure_domain);
    EXPECT_NE(chosen[1]->failure_domain, chosen[2]->failure_domain);
  }
}

TEST(AddressBookTest, ExcludesLeavingAndFailedHosts) {
  std::vector<member> members = MakeMembers();
  members[0].status = member_status::kLeaving;
  members[1].status = member_status::kDead;
  address_book book;
  book.SetMembers(members);
  for (int i = 0; i < 100; ++i) {
    for (const member* item : book.Choose("w" + std::to_string(i), 8)) {
      EXPECT_NE(item->host, "h0");
      EXPECT_NE(item->host, "h1");
    }
  }
}

TEST(AddressBookTest, LeavingHostMovesOnlyItsOwnWorkspaces) {
  address_book before;
  before.SetMembers(MakeMembers());
  std::vector<member> members = MakeMembers();
  members[3].status = member_status::kLeaving;
  address_book after;
  after.SetMembers(members);
  std::map<std::string, int> first;
  for (int i = 0; i < 400; ++i) {
    const std::string workspace = "w" + std::to_string(i);
    const member* old_host = before.Choose(workspace, 1)[0];
    const member* new_host = after.Choose(workspace, 1)[0];
    ++first[old_host->host];
    if (old_host->host != "h3") {
      EXPECT_EQ(old_host->host, new_host->host);
    }
  }
  EXPECT_EQ(first.size(), 8U) << "each host ranks first for some workspace";
}

}  // namespace
}  // namespace cuminswitch
