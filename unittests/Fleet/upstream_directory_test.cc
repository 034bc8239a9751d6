// Which of the listed upstreams are in use.
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
/// Store revision of each removal.
constexpr revision_number kRemoved = 50;
/// The store has just recovered, after the removals.
constexpr recovery_window kRecovered{.until = kNow + milliseconds(2000),
                                     .last_removal = kRemoved};

using ids = std::vector<std::string>;

class upstream_directory_test : public testing::Test {
 protected:
  /// Applies the changes that make \p entries, in any order, the store's
  /// complete list.
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
      directory_.Apply(now, MakeUpdate(entry), window);
    }
  }
  static upstream_entry_update MakeUpdate(const upstream_entry& entry) {
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

// Guards against requests that upstreams reject for five seconds after a crash,
// because an entry is used whose address belongs to a later run.
TEST_F(upstream_directory_test, UsesLatestEntryAtAddress) {
  List({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 5},
        {.id = "other", .address = kThere, .revision = 2}});
  EXPECT_EQ(InUse(), (ids{"new", "other"}));
}

TEST_F(upstream_directory_test, LaterEntryTakesOverAddress) {
  List({{.id = "old", .address = kHere, .revision = 5}});
  List({{.id = "old", .address = kHere, .revision = 5},
        {.id = "new", .address = kHere, .revision = 9}});
  EXPECT_EQ(InUse(), ids{"new"});
}

// Guards against an engine that gets no requests after a restart, because a
// late write of the previous process, which reports that it is draining, counts
// as the latest entry at the address.
TEST_F(upstream_directory_test, LateWriteDoesNotTakeAddressBack) {
  List({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 5}});
  List({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 12}});
  EXPECT_EQ(InUse(), ids{"new"});
}

// Guards against an engine that gets neither requests nor weights after a
// crash, because a delayed heartbeat of its earlier start, which had expired,
// is the latest write at the address.
TEST_F(upstream_directory_test, DelayedWriteOfExpiredStartHidesNothing) {
  List({{.id = "old", .address = kHere, .revision = 5}});
  List({});
  List({{.id = "new", .address = kHere, .revision = 9}});
  List({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 12}});
  EXPECT_EQ(InUse(), ids{"new"});
  List({{.id = "new", .address = kHere, .revision = 9}});
  EXPECT_EQ(InUse(), ids{"new"});
}

// Guards against the same for a daemon that never saw the earlier start listed,
// so that it cannot know which of the two is the later one.
TEST_F(upstream_directory_test, UsesReplacedEntryOnceTheOtherExpires) {
  List({{.id = "new", .address = kHere, .revision = 9}});
  List({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 12}});
  EXPECT_EQ(InUse(), ids{"old"});
  List({{.id = "new", .address = kHere, .revision = 9}});
  EXPECT_EQ(InUse(), ids{"new"});
}

TEST_F(upstream_directory_test, EndOfLaterStartDoesNotRestoreEarlierOne) {
  List({{.id = "old", .address = kHere, .started = 100, .revision = 5},
        {.id = "new", .address = kHere, .started = 200, .revision = 9}});
  List({{.id = "old", .address = kHere, .started = 100, .revision = 5}});
  EXPECT_TRUE(InUse().empty());
}

// Guards against a living upstream that gets no requests for good, because
// another writer's entry claims its address with a later start.
TEST_F(upstream_directory_test, RefutedEntryYieldsTheAddress) {
  const upstream_entry living{
      .id = "living", .address = kHere, .started = 100, .revision = 5};
  const upstream_entry twin{
      .id = "twin", .address = kHere, .started = UINT64_MAX, .revision = 9};
  List({living, twin});
  EXPECT_EQ(InUse(), ids{"twin"});
  EXPECT_EQ(directory_.TakeContested().size(), 1U);
  EXPECT_FALSE(directory_.Refute(kNow, "living", 100));
  EXPECT_FALSE(directory_.Refute(kNow, "twin", 7)) << "an earlier start";
  EXPECT_TRUE(directory_.Refute(kNow, "twin", UINT64_MAX));
  EXPECT_EQ(InUse(), ids{"living"});
  List({living, twin}, kNow + milliseconds(500));
  EXPECT_EQ(InUse(), ids{"living"}) << "a renewal takes the address back";
  List({living});
  EXPECT_EQ(InUse(), ids{"living"});
}

// Guards against an upstream that gets no requests because the entry of one
// that leaves is used at its address, which nothing would refute.
TEST_F(upstream_directory_test, LeavingEntryIsNotUsedForARefutedOne) {
  List({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .is_draining = true, .revision = 5}});
  EXPECT_FALSE(directory_.Refute(kNow, "new", 0));
  EXPECT_EQ(InUse(), ids{"new"});
}

// Guards against an upstream that is found only after each of many other
// entries with its address was used for a second.
TEST_F(upstream_directory_test, EntriesThatWereNotRefutedComeFirst) {
  std::vector<upstream_entry> entries{
      {.id = "living", .address = kHere, .revision = 1}};
  for (revision_number i = 2; i <= 20; ++i) {
    entries.push_back(
        {.id = "twin" + std::to_string(i), .address = kHere, .revision = i});
  }
  List(entries);
  for (int i = 0; i < 19; ++i) {
    EXPECT_TRUE(directory_.Refute(kNow, InUse().at(0), 0));
  }
  EXPECT_EQ(InUse(), ids{"living"});
}

// Guards against an upstream that stays hidden behind a second entry with its
// address after the first one has gone: that one is to be probed too.
TEST_F(upstream_directory_test, RestoredEntryIsContestedWhileOthersRemain) {
  const upstream_entry living{.id = "living", .address = kHere, .revision = 1};
  const upstream_entry twin{.id = "twin", .address = kHere, .revision = 2};
  List({living, twin, {.id = "other", .address = kHere, .revision = 3}});
  directory_.TakeContested();
  directory_.Apply(kNow, {.id = "other", .revision = kRemoved}, {});
  EXPECT_EQ(InUse(), ids{"twin"});
  const std::vector<upstream_ref> contested = directory_.TakeContested();
  ASSERT_EQ(contested.size(), 1U);
  EXPECT_EQ(contested[0]->id, "twin");
  directory_.Apply(kNow, {.id = "twin", .revision = kRemoved}, {});
  EXPECT_EQ(InUse(), ids{"living"});
  EXPECT_TRUE(directory_.TakeContested().empty());
}

// Guards against entries that take turns at the rate of the requests, where
// none of them is right.
TEST_F(upstream_directory_test, RefutedEntriesAlternateSlowly) {
  List({{.id = "a", .address = kHere, .revision = 1},
        {.id = "b", .address = kHere, .revision = 2}});
  int changes = 0;
  for (int i = 0; i < 1000; ++i) {
    const time_point now = kNow + milliseconds(10 * i);
    changes += directory_.Refute(now, InUse().at(0), 0) ? 1 : 0;
  }
  EXPECT_GE(changes, 5);
  EXPECT_LE(changes, 12);
}

// Guards against a living upstream that stays out of use after the entry that
// claimed its address with a later start has gone.
TEST_F(upstream_directory_test, RestoresEntryThatIsStillListed) {
  const upstream_entry living{
      .id = "living", .address = kHere, .started = 100, .revision = 5};
  List({living, {.id = "twin", .address = kHere, .started = 200}});
  List({living});
  EXPECT_TRUE(InUse().empty());
  directory_.RestoreListed(kNow + milliseconds(5000));
  EXPECT_TRUE(InUse().empty()) << "it may have ended, and expire soon";
  directory_.RestoreListed(kNow + milliseconds(11000));
  EXPECT_EQ(InUse(), ids{"living"});
}

// Guards against records of removed starts that outlive the writes they guard
// against: an id may be used again.
TEST_F(upstream_directory_test, ForgetsRemovedStarts) {
  List({{.id = "old", .address = kHere, .revision = 5}});
  List({});
  const time_point later = kNow + std::chrono::seconds(31);
  List({{.id = "new", .address = kHere, .revision = 9}}, later);
  List({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 12}},
       later);
  EXPECT_EQ(InUse(), ids{"old"});
}

TEST_F(upstream_directory_test, UsesLaterStartTimeAtAddress) {
  List({{.id = "new", .address = kHere, .started = 200, .revision = 5},
        {.id = "old", .address = kHere, .started = 100, .revision = 9}});
  EXPECT_EQ(InUse(), ids{"new"});
}

TEST_F(upstream_directory_test, UsesIdAgainAfterRemoval) {
  List({{.id = "new", .address = kHere, .revision = 9},
        {.id = "old", .address = kHere, .revision = 5}});
  List({{.id = "new", .address = kHere, .revision = 9}});
  List({{.id = "old", .address = kThere, .revision = 20}});
  EXPECT_EQ(InUse(), ids{"old"});
}

// Guards against rejecting all requests for two seconds after an outage, when
// the store recovers without the entries of upstreams whose heartbeats it did
// not receive.
TEST_F(upstream_directory_test, RetainsExpiredEntriesDuringWindow) {
  List({{.id = "a", .address = kHere}, {.id = "b", .address = kThere}});
  List({{.id = "a", .address = kHere}}, kNow, kRecovered);
  EXPECT_EQ(InUse(), (ids{"a", "b"}));
  directory_.Expire(kNow + milliseconds(1900), kRecovered);
  EXPECT_TRUE(directory_.HasRetained());
  EXPECT_EQ(InUse(), (ids{"a", "b"}));
  directory_.Expire(kNow + milliseconds(2000), kRecovered);
  EXPECT_FALSE(directory_.HasRetained());
  EXPECT_EQ(InUse(), ids{"a"});
}

// Guards against requests to an upstream that stopped after the store's
// recovery.
TEST_F(upstream_directory_test, RemovesEntryRemovedAfterRecovery) {
  constexpr recovery_window kBefore{.until = kRecovered.until,
                                    .last_removal = kRemoved - 1};
  List({{.id = "a", .address = kHere}});
  List({}, kNow, kBefore);
  EXPECT_TRUE(InUse().empty());
}

// The same if another daemon observed the recovery earlier, and reports it
// later.
TEST_F(upstream_directory_test, EarlierRecoveryEndsRetention) {
  List({{.id = "a", .address = kHere}});
  List({}, kNow, kRecovered);
  EXPECT_EQ(InUse(), ids{"a"});
  directory_.Expire(kNow,
                    {.until = kRecovered.until, .last_removal = kRemoved - 1});
  EXPECT_TRUE(InUse().empty());
}

// Guards against rejecting all requests if the store fails again before
// upstreams register: entries must be retained after the second recovery too.
TEST_F(upstream_directory_test, RetainsExpiredEntriesAfterNextRecovery) {
  List({{.id = "a", .address = kHere}});
  List({}, kNow, kRecovered);
  const recovery_window next{.until = kNow + milliseconds(7000),
                             .last_removal = kRemoved + 10};
  directory_.Expire(kNow + milliseconds(5000), next);
  EXPECT_EQ(InUse(), ids{"a"});
  directory_.Expire(kNow + milliseconds(7000), next);
  EXPECT_TRUE(InUse().empty());
}

// Guards against requests to an upstream whose entry cannot be decoded: an
// entry that was overwritten during the outage must not count as expired.
TEST_F(upstream_directory_test, DoesNotRetainUnreadableEntry) {
  List({{.id = "a", .address = kHere}, {.id = "b", .address = kThere}});
  directory_.Apply(kNow, {.id = "b", .is_unreadable = true}, kRecovered);
  EXPECT_EQ(InUse(), ids{"a"});
  EXPECT_EQ(directory_.unreadable_count(), 1U);
  directory_.Apply(kNow, {.id = "b"}, kRecovered);
  EXPECT_EQ(directory_.unreadable_count(), 0U);
}

TEST_F(upstream_directory_test, DoesNotRetainDrainingUpstream) {
  List({{.id = "a", .address = kHere, .is_draining = true}});
  List({}, kNow, kRecovered);
  EXPECT_TRUE(InUse().empty());
}

TEST_F(upstream_directory_test, ReportsOnlyChanges) {
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
  directory_.Apply(kNow, MakeUpdate(fleet[7]), {});
  const std::vector<upstream_change> changes = directory_.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].id, "e7");
  EXPECT_FALSE(changes[0].before->is_draining);
  EXPECT_TRUE(changes[0].after->is_draining);
}

// An upstream that was added and removed between two calls is not reported.
TEST_F(upstream_directory_test, IgnoresEntryAddedAndRemovedBetweenCalls) {
  List({{.id = "a", .address = kHere}});
  List({});
  EXPECT_TRUE(directory_.TakeChanges().empty());
  EXPECT_EQ(directory_.size(), 0U);
}

}  // namespace
}  // namespace cuminswitch
