// Which of several entries with one address is believed.
#include "cuminswitch/Fleet/address_owners.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cuminswitch {
namespace {

const endpoint kHere{"10.0.0.1", 80};
const endpoint kThere{"10.0.0.2", 80};

class address_owners_test : public testing::Test {
 protected:
  /// The ids that are left of \p entries.
  std::vector<std::string> Keep(std::vector<upstream_entry> entries) {
    fleet_knowledge knowledge;
    knowledge.upstreams = std::move(entries);
    owners_.DropReplaced(knowledge);
    std::vector<std::string> ids;
    for (const upstream_entry& entry : knowledge.upstreams) {
      ids.push_back(entry.id);
    }
    return ids;
  }

  address_owners owners_;
};

using ids = std::vector<std::string>;

// Symptom: for five seconds after a crash requests are refused with "every
// upstream that was asked refused it".
// Sequence: three of nine engines crash and start again, under new ids at their
// addresses; the old entries stay listed until they lapse; a request is placed
// at one after the other of them, and the new process turns each away.
// Cause: an entry counted as an upstream although its address had been taken.
TEST_F(address_owners_test, TheLatestEntryHasTheAddress) {
  EXPECT_EQ(Keep({{.id = "new", .address = kHere, .revision = 9},
                  {.id = "old", .address = kHere, .revision = 5},
                  {.id = "other", .address = kThere, .revision = 2}}),
            (ids{"new", "other"}));
}

// Symptom: an engine that has just come back gets nothing.
// Sequence: the process before it says late that it leaves.
// Cause: the last write at the address won.
TEST_F(address_owners_test, ALateWriteDoesNotTakeTheAddressBack) {
  Keep({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 5}});
  EXPECT_EQ(Keep({{.id = "new", .address = kHere, .revision = 9},
                  {.id = "old", .address = kHere, .revision = 12}}),
            ids{"new"});
}

TEST_F(address_owners_test, TheLaterStartHasTheAddressWhereBothTellIt) {
  EXPECT_EQ(
      Keep({{.id = "new", .address = kHere, .started = 200, .revision = 5},
            {.id = "old", .address = kHere, .started = 100, .revision = 9}}),
      ids{"new"});
}

TEST_F(address_owners_test, AnIdThatWasGoneBeginsAnew) {
  Keep({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 5}});
  Keep({{.id = "new", .address = kHere, .revision = 9}});
  EXPECT_EQ(Keep({{.id = "old", .address = kThere, .revision = 20}}),
            ids{"old"});
}

}  // namespace
}  // namespace cuminswitch
