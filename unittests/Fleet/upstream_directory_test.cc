// Which of the listed upstreams are used.
#include "cuminswitch/Fleet/upstream_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/store_outage_tracker.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

const endpoint kHere{"10.0.0.1", 80};
const endpoint kThere{"10.0.0.2", 80};
constexpr time_point kNow{std::chrono::seconds(100)};
/// Of each removal.
constexpr revision_number kRemoved = 50;
/// The store returned just now, after the removals.
constexpr recovery_window kReturned{.until = kNow + milliseconds(2000),
                                    .last_removal = kRemoved};

using ids = std::vector<std::string>;

class upstream_directory_test : public testing::Test {
 protected:
  /// Lists \p entries and nothing else, in any order, as the store would.
  void List(const std::vector<upstream_entry>& entries,
            time_point now = kNow,
            const recovery_window& window = {}) {
    ids listed;
    for (const upstream_entry& entry : entries) {
      listed.push_back(entry.id);
    }
    for (const std::string& id : listed_) {
      if (std::find(listed.begin(), listed.end(), id) == listed.end()) {
        directory_.Apply(now, {.id = id, .revision = kRemoved}, window);
      }
    }
    listed_ = listed;
    for (const upstream_entry& entry : entries) {
      directory_.Apply(now, News(entry), window);
    }
  }
  static upstream_entry_update News(const upstream_entry& entry) {
    return {.id = entry.id,
            .entry = std::make_shared<const upstream_entry>(entry)};
  }
  ids InUse() const {
    ids list;
    for (const upstream_ref& entry : directory_.List()) {
      list.push_back(entry->id);
    }
    return list;
  }

  upstream_directory directory_;
  ids listed_;
};

// Requests that one upstream after the other refuses for five seconds after a
// crash: entries whose address another start has taken were used.
TEST_F(upstream_directory_test, TheLatestEntryHasTheAddress) {
  List({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 5},
        {.id = "other", .address = kThere, .revision = 2}});
  EXPECT_EQ(InUse(), (ids{"new", "other"}));
}

TEST_F(upstream_directory_test, TheLatestEntryTakesTheAddressOver) {
  List({{.id = "old", .address = kHere, .revision = 5}});
  List({{.id = "old", .address = kHere, .revision = 5},
        {.id = "new", .address = kHere, .revision = 9}});
  EXPECT_EQ(InUse(), ids{"new"});
}

// An engine that has just come back gets nothing: the last write at its address
// won, by the process before it that said late that it leaves.
TEST_F(upstream_directory_test, ALateWriteDoesNotTakeTheAddressBack) {
  List({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 5}});
  List({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 12}});
  EXPECT_EQ(InUse(), ids{"new"});
}

TEST_F(upstream_directory_test, TheLaterStartHasTheAddressWhereBothTellIt) {
  List({{.id = "new", .address = kHere, .started = 200, .revision = 5},
        {.id = "old", .address = kHere, .started = 100, .revision = 9}});
  EXPECT_EQ(InUse(), ids{"new"});
}

TEST_F(upstream_directory_test, AnIdThatWasGoneBeginsAnew) {
  List({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 5}});
  List({{.id = "new", .address = kHere, .revision = 9}});
  List({{.id = "old", .address = kThere, .revision = 20}});
  EXPECT_EQ(InUse(), ids{"old"});
}

// For two seconds after the store's return all is refused: it was away for all
// daemons, and returns without the entries of upstreams that it did not hear.
TEST_F(upstream_directory_test, EntriesThatLapsedAreKeptForAWhile) {
  List({{.id = "a", .address = kHere}, {.id = "b", .address = kThere}});
  List({{.id = "a", .address = kHere}}, kNow, kReturned);
  EXPECT_EQ(InUse(), (ids{"a", "b"}));
  directory_.Expire(kNow + milliseconds(1900), kReturned);
  EXPECT_TRUE(directory_.HasRetained());
  EXPECT_EQ(InUse(), (ids{"a", "b"}));
  directory_.Expire(kNow + milliseconds(2000), kReturned);
  EXPECT_FALSE(directory_.HasRetained());
  EXPECT_EQ(InUse(), ids{"a"});
}

// Guards against requests to an upstream that left after the store's return.
TEST_F(upstream_directory_test, WhatIsRemovedAfterTheReturnIsGone) {
  constexpr recovery_window kBefore{.until = kReturned.until,
                                    .last_removal = kRemoved - 1};
  List({{.id = "a", .address = kHere}});
  List({}, kNow, kBefore);
  EXPECT_TRUE(InUse().empty());
}

// The same where another daemon saw the return earlier, and tells so later.
TEST_F(upstream_directory_test, AnEarlierReturnEndsTheKeepingAtOnce) {
  List({{.id = "a", .address = kHere}});
  List({}, kNow, kReturned);
  EXPECT_EQ(InUse(), ids{"a"});
  directory_.Expire(kNow,
                    {.until = kReturned.until, .last_removal = kRemoved - 1});
  EXPECT_TRUE(InUse().empty());
}

// All is refused where the store goes away once more before upstreams are back:
// they were kept for the time after the first return only.
TEST_F(upstream_directory_test, WhatLapsedIsKeptAfterTheNextReturnToo) {
  List({{.id = "a", .address = kHere}});
  List({}, kNow, kReturned);
  const recovery_window next{.until = kNow + milliseconds(7000),
                             .last_removal = kRemoved + 10};
  directory_.Expire(kNow + milliseconds(5000), next);
  EXPECT_EQ(InUse(), ids{"a"});
  directory_.Expire(kNow + milliseconds(7000), next);
  EXPECT_TRUE(InUse().empty());
}

// Requests go to an upstream whose entry says nothing of use: it was
// overwritten while the store was away, and was taken for one that lapsed.
TEST_F(upstream_directory_test, AnUnreadableEntryHasNotLapsed) {
  List({{.id = "a", .address = kHere}, {.id = "b", .address = kThere}});
  directory_.Apply(kNow, {.id = "b", .is_unreadable = true}, kReturned);
  EXPECT_EQ(InUse(), ids{"a"});
  EXPECT_EQ(directory_.unreadable_count(), 1U);
  directory_.Apply(kNow, {.id = "b"}, kReturned);
  EXPECT_EQ(directory_.unreadable_count(), 0U);
}

TEST_F(upstream_directory_test, ADrainingUpstreamIsNeverKept) {
  List({{.id = "a", .address = kHere, .is_draining = true}});
  List({}, kNow, kReturned);
  EXPECT_TRUE(InUse().empty());
}

TEST_F(upstream_directory_test, TellsOnlyWhatChanged) {
  std::vector<upstream_entry> fleet;
  fleet.reserve(500);
  for (int i = 0; i < 500; ++i) {
    fleet.push_back({.id = "e" + std::to_string(i),
                     .service = "s",
                     .address = {"10.0.1.1", static_cast<uint16_t>(i + 1)}});
  }
  List(fleet);
  EXPECT_EQ(directory_.TakeChanges().size(), fleet.size());
  EXPECT_EQ(directory_.CountOf("s"), fleet.size());
  EXPECT_TRUE(directory_.TakeChanges().empty());
  fleet[7].is_draining = true;
  directory_.Apply(kNow, News(fleet[7]), {});
  const std::vector<upstream_change> changes = directory_.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].id, "e7");
  EXPECT_FALSE(changes[0].before->is_draining);
  EXPECT_TRUE(changes[0].after->is_draining);
}

// What came and went between two calls never was.
TEST_F(upstream_directory_test, WhatCameAndWentIsNoChange) {
  List({{.id = "a", .address = kHere}});
  List({});
  EXPECT_TRUE(directory_.TakeChanges().empty());
  EXPECT_EQ(directory_.size(), 0U);
}

}  // namespace
}  // namespace cuminswitch
