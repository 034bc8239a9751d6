// Changes of items from the store and from peers, in any order.
#include "cuminswitch/Fleet/item_view.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace cuminswitch {
namespace {

item_change Put(const std::string& key,
                const std::string& value,
                revision_number revision) {
  return {.key = key, .value = value, .revision = revision};
}

item_change Removed(const std::string& key, revision_number revision) {
  return {.key = key, .value = std::nullopt, .revision = revision};
}

// Guards against a return to a replaced configuration: a daemon gets version 2
// from the store, then a late frame of a peer with version 1. The newest
// revision must win, not the last message.
TEST(item_view_test, IgnoresOlderChange) {
  item_view view;
  view.ApplyChanges(std::vector{Put("a", "2", 20)}, 20);
  EXPECT_TRUE(view.ApplyChanges(std::vector{Put("a", "1", 10)}, 10).empty());
  EXPECT_EQ(view.entries().at("a").value, "2");
  EXPECT_EQ(view.revision(), 20U);
}

// Guards against requests to an upstream that has stopped: its entry is
// removed, then a peer that is behind sends the entry again.
TEST(item_view_test, DoesNotRestoreRemovedItemFromOlderChange) {
  item_view view;
  view.ApplyChanges(std::vector{Put("a", "1", 10), Removed("a", 30)}, 30);
  EXPECT_TRUE(view.ApplyChanges(std::vector{Put("a", "1", 10)}, 10).empty());
  EXPECT_FALSE(view.entries().at("a").value.has_value());
  EXPECT_EQ(view.ApplyChanges(std::vector{Put("a", "3", 40)}, 40),
            std::vector<std::string>{"a"});
  EXPECT_EQ(view.entries().at("a").value, "3");
}

TEST(item_view_test, RemovesItemsMissingFromCompleteRead) {
  item_view view;
  view.ApplyAll(std::vector{Put("a", "1", 1), Put("b", "1", 2)}, 5);
  view.ApplyAll(std::vector{Put("a", "1", 1)}, 9);
  EXPECT_FALSE(view.entries().at("b").value.has_value());
}

// Guards against the loss of a new upstream: a complete read reflects revision
// 5, while a peer has already sent a change of revision 7.
TEST(item_view_test, KeepsItemsNewerThanCompleteRead) {
  item_view view;
  view.ApplyChanges(std::vector{Put("new", "1", 7)}, 7);
  view.ApplyAll(std::vector{Put("a", "1", 1)}, 5);
  EXPECT_TRUE(view.entries().at("new").value.has_value());
  EXPECT_EQ(view.revision(), 7U);
}

TEST(item_view_test, ListsRelayedChangesAfterRevision) {
  item_view view;
  view.ApplyChanges(
      std::vector{Put("a", "1", 1), Put("b", "1", 2), Removed("c", 3)}, 3);
  for (const char* key : {"a", "b", "c"}) {
    view.MarkForRelay(key);
  }
  const std::vector<item_change> newer = view.ListRelayedSince(1);
  ASSERT_EQ(newer.size(), 2U);
  EXPECT_EQ(newer[0].key, "b");
  EXPECT_FALSE(newer[1].value.has_value());
  EXPECT_EQ(view.ListAll().size(), 3U);
}

// Guards against needless requests between peers, five per second, that occur
// when renewals of upstreams' items count as changes to relay.
TEST(item_view_test, DoesNotRelayRenewals) {
  item_view view;
  view.ApplyChanges(std::vector{Put("a", "1", 1), Put("b", "1", 2)}, 2);
  view.MarkForRelay("a");
  view.MarkForRelay("b");
  view.ApplyChanges(std::vector{Put("a", "1 renewed", 3)}, 3);
  EXPECT_EQ(view.relay_revision(), 2U);
  EXPECT_TRUE(view.ListRelayedSince(2).empty());
  EXPECT_EQ(view.ListRelayedSince(0).size(), 2U);
  EXPECT_EQ(view.entries().at("a").value, "1 renewed");
}

// Several items share a revision, and some changes are older than the recent
// ones that the view indexes.
TEST(item_view_test, ListsRelayedChangesFromAnyRevision) {
  item_view view;
  std::vector<item_change> changes;
  changes.reserve(9000);
  for (int i = 0; i < 9000; ++i) {
    changes.push_back(
        Put("key" + std::to_string(i), "1", 1 + static_cast<uint64_t>(i) / 3));
  }
  view.ApplyChanges(changes, 3000);
  for (const item_change& change : changes) {
    view.MarkForRelay(change.key);
  }
  for (const revision_number since : {0, 1, 1000, 2990, 2999, 3000}) {
    EXPECT_EQ(view.ListRelayedSince(since).size(), (3000 - since) * 3) << since;
  }
}

TEST(item_view_test, ReportsKeysOfPrunedItems) {
  item_view view;
  std::set<std::string> known;
  for (revision_number i = 1; i <= 2000; ++i) {
    for (const std::string& key : view.ApplyChanges(
             std::vector{Removed("key" + std::to_string(i), i)}, i)) {
      known.insert(key);
      if (!view.entries().contains(key)) {
        known.erase(key);
      }
    }
  }
  EXPECT_EQ(known.size(), view.entries().size());
}

TEST(item_view_test, PrunesRemovedItemsAndReportsMissingHistory) {
  item_view view;
  for (revision_number i = 1; i <= 2000; ++i) {
    view.ApplyChanges(std::vector{Removed("key" + std::to_string(i), i)}, i);
  }
  EXPECT_LT(view.entries().size(), 600U);
  EXPECT_FALSE(view.HasHistorySince(1));
  EXPECT_TRUE(view.HasHistorySince(1999));
}

// The same changes in any order give the same view. The shuffling has a fixed
// seed.
TEST(item_view_test, ConvergesForAnyOrderOfChanges) {
  std::vector<item_change> changes;
  for (revision_number i = 1; i <= 12; ++i) {
    const std::string key = "k" + std::to_string(i % 4);
    changes.push_back(i % 5 == 0 ? Removed(key, i)
                                 : Put(key, std::to_string(i), i));
  }
  item_view expected;
  expected.ApplyChanges(changes, 12);
  uint32_t state = 7;
  for (int round = 0; round < 200; ++round) {
    for (size_t i = changes.size(); i > 1; --i) {
      state = state * 1664525 + 1013904223;
      std::swap(changes[i - 1], changes[(state >> 8) % i]);
    }
    item_view view;
    for (const item_change& change : changes) {
      view.ApplyChanges(std::span(&change, 1), change.revision);
    }
    for (const auto& [key, entry] : expected.entries()) {
      EXPECT_EQ(view.entries().at(key).value, entry.value);
    }
  }
}

// Guards against a removal that is lost because a peer relays changes although
// its first list is newer than the removal.
TEST(item_view_test, HasNoHistoryBeforeFirstList) {
  item_view late;
  late.ApplyAll(
      std::vector<item_change>{{.key = "a", .value = "1", .revision = 90}},
      100);
  EXPECT_FALSE(late.HasHistorySince(60))
      << "a removal at revision 80 is not in the list";
  EXPECT_TRUE(late.HasHistorySince(100));
  late.ApplyAll({}, 120);
  EXPECT_TRUE(late.HasHistorySince(100)) << "it has all removals since";
}

}  // namespace
}  // namespace cuminswitch
