// Which of the listed upstreams are used.
#include "cuminswitch/Fleet/upstream_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

const endpoint kHere{"10.0.0.1", 80};
const endpoint kThere{"10.0.0.2", 80};
constexpr time_point kNow{std::chrono::seconds(100)};

using ids = std::vector<std::string>;

class upstream_directory_test : public testing::Test {
 protected:
  /// Lists \p entries and nothing else, in any order, as the store would.
  void List(const std::vector<upstream_entry>& entries,
            time_point now = kNow,
            time_point awaits_until = kNow) {
    ids listed;
    for (const upstream_entry& entry : entries) {
      listed.push_back(entry.id);
    }
    for (const std::string& id : listed_) {
      if (std::find(listed.begin(), listed.end(), id) == listed.end()) {
        directory_.Take(now, {.id = id}, awaits_until);
      }
    }
    listed_ = listed;
    for (const upstream_entry& entry : entries) {
      directory_.Take(now, News(entry), awaits_until);
    }
  }
  static upstream_news News(const upstream_entry& entry) {
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
  const time_point until = kNow + milliseconds(2300);
  List({{.id = "a", .address = kHere}, {.id = "b", .address = kThere}});
  List({{.id = "a", .address = kHere}}, kNow, until);
  EXPECT_EQ(InUse(), (ids{"a", "b"}));
  directory_.Expire(kNow + milliseconds(2000), until);
  EXPECT_TRUE(directory_.HasKept());
  EXPECT_EQ(InUse(), (ids{"a", "b"}));
  directory_.Expire(kNow + milliseconds(2400), until);
  EXPECT_FALSE(directory_.HasKept());
  EXPECT_EQ(InUse(), ids{"a"});
}

// A daemon that does not follow the store refuses all in the meantime: it kept
// what lapsed for no longer than the first beat that told it so.
TEST_F(upstream_directory_test, WhatLapsedIsKeptWhilePeersAwaitIt) {
  List({{.id = "a", .address = kHere}});
  List({}, kNow, kNow + milliseconds(400));
  directory_.Expire(kNow + milliseconds(300), kNow + milliseconds(700));
  directory_.Expire(kNow + milliseconds(600), kNow + milliseconds(600));
  EXPECT_EQ(InUse(), ids{"a"});
  directory_.Expire(kNow + milliseconds(700), kNow + milliseconds(700));
  EXPECT_TRUE(InUse().empty());
}

// Requests go to an upstream whose entry says nothing of use: it was
// overwritten while the store was away, and was taken for one that lapsed.
TEST_F(upstream_directory_test, AnUnreadableEntryHasNotLapsed) {
  List({{.id = "a", .address = kHere}, {.id = "b", .address = kThere}});
  directory_.Take(kNow, {.id = "b", .is_unreadable = true},
                  kNow + milliseconds(2300));
  EXPECT_EQ(InUse(), ids{"a"});
  EXPECT_EQ(directory_.unreadable_count(), 1U);
  directory_.Take(kNow, {.id = "b"}, kNow + milliseconds(2300));
  EXPECT_EQ(directory_.unreadable_count(), 0U);
}

TEST_F(upstream_directory_test, ADrainingUpstreamIsNeverKept) {
  List({{.id = "a", .address = kHere, .is_draining = true}});
  List({}, kNow, kNow + milliseconds(2300));
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
  directory_.Take(kNow, News(fleet[7]), kNow);
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
