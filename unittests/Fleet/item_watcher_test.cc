// How a starting daemon gets all items.
#include "cuminswitch/Fleet/item_watcher.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Log/event_log.h"
#include "idle_item_store.h"

namespace cuminswitch {
namespace {

/// A store whose calls wait until the test completes them.
class manual_store : public idle_item_store {
 public:
  void ReadAll(std::function<void(store_items)> done) override {
    reading = std::move(done);
  }
  void StopReading() override { reading = nullptr; }
  void Watch(revision_number after,
             std::chrono::milliseconds wait,
             std::function<void(store_items)> done) override {
    watched_after = after;
    watched_for = wait;
    watching = std::move(done);
  }

  std::function<void(store_items)> reading;
  std::optional<revision_number> watched_after;
  std::chrono::milliseconds watched_for{0};
  std::function<void(store_items)> watching;
};

struct base_deleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

class item_watcher_test : public testing::Test {
 protected:
  item_watcher_test()
      : base_(event_base_new()),
        log_({}),
        item_watcher_(
            base_.get(),
            store_,
            log_,
            {.on_change = [](std::span<const std::string> /*keys*/) {},
             .on_reply =
                 [this](const item_watcher::store_reply& reply) {
                   last_reply_ = reply;
                 },
             .on_checked =
                 [this](time_point called_at, bool is_complete) {
                   checked_at_ = called_at;
                   checks_.push_back(is_complete);
                 }}) {
    item_watcher_.Start();
  }
  void RunTimers() { event_base_loop(base_.get(), EVLOOP_ONCE); }

  std::unique_ptr<event_base, base_deleter> base_;
  event_log log_;
  item_watcher::store_reply last_reply_;
  /// The call time of the last check, and the results of all.
  time_point checked_at_{};
  std::vector<bool> checks_;
  manual_store store_;
  item_watcher item_watcher_;
};

// Guards against a slow restart of a fleet: 300 daemons start at once, and each
// reads a megabyte of items from the store although some peers have them
// already. If a peer's list does not end the read in progress, the store's link
// stays saturated, and the fleet serves no requests for 30 s.
TEST_F(item_watcher_test, CancelsReadWhenPeerSendsCompleteList) {
  ASSERT_TRUE(store_.reading);
  item_watcher_.OnPeerItems(
      {.revision = 7,
       .is_complete = true,
       .items = {{.key = "k", .value = "v", .revision = 3}}},
      {});
  EXPECT_FALSE(store_.reading);
  EXPECT_EQ(item_watcher_.view().revision(), 7U);
  RunTimers();
  EXPECT_EQ(store_.watched_after, 7U);
}

// Guards against a change that was made while the pages of all items were read
// and is taken for newer than the last page.
TEST_F(item_watcher_test, ReadIsCompleteAsOfItsFirstPage) {
  const time_point started = ReadBootClock();
  store_.reading({.status = store_status::kRefused});
  while (ReadBootClock() - started < std::chrono::milliseconds(50)) {
    RunTimers();
  }
  ASSERT_TRUE(store_.reading);
  store_.reading({.status = store_status::kDone, .revision = 5});
  EXPECT_LE(last_reply_.complete_at, started);
  EXPECT_GT(last_reply_.at, started);
}

TEST_F(item_watcher_test, ContinuesReadWhenPeerSendsSomeItems) {
  item_watcher_.OnPeerItems(
      {.revision = 7,
       .is_complete = false,
       .items = {{.key = "k", .value = "v", .revision = 7}}},
      {});
  EXPECT_TRUE(store_.reading);
}

// Guards against a delay of over a second until daemons detect the store's
// recovery.
TEST_F(item_watcher_test, UsesShortWatchWhileStoreIsUnavailable) {
  store_.reading({.status = store_status::kDone, .revision = 5});
  RunTimers();
  const std::chrono::milliseconds normal_wait = store_.watched_for;
  store_.watching({.status = store_status::kUnknown});
  RunTimers();
  EXPECT_LE(store_.watched_for, normal_wait / 5);
  store_.watching({.status = store_status::kDone, .revision = 5});
  RunTimers();
  EXPECT_EQ(store_.watched_for, normal_wait);
}

// Guards against a stream that a daemon resumes at an outdated version: a watch
// that began before may be replied to with what the store held then.
TEST_F(item_watcher_test, CheckShowsWhatTheStoreHoldsNow) {
  store_.reading({.status = store_status::kDone, .revision = 5});
  RunTimers();
  const auto watching = std::exchange(store_.watching, nullptr);
  const time_point before = ReadBootClock();
  item_watcher_.Check();
  ASSERT_TRUE(store_.watching);
  EXPECT_EQ(store_.watched_after, 5U);
  watching({.status = store_status::kDone, .revision = 5});
  EXPECT_TRUE(checks_.empty());
  store_.watching({.status = store_status::kDone,
                   .items = {{.key = "k", .value = "v", .revision = 6}},
                   .revision = 6});
  EXPECT_EQ(checks_, std::vector<bool>({true}));
  EXPECT_GE(checked_at_, before);
  EXPECT_EQ(last_reply_.complete_at, checked_at_);
  EXPECT_EQ(item_watcher_.view().revision(), 6U);
}

TEST_F(item_watcher_test, CheckFailsWithoutReplyOrHistory) {
  item_watcher_.Check();
  EXPECT_EQ(checks_, std::vector<bool>({false}));
  store_.reading({.status = store_status::kDone, .revision = 5});
  RunTimers();
  const auto watching = std::exchange(store_.watching, nullptr);
  for (const store_status status :
       {store_status::kUnknown, store_status::kHistoryGone}) {
    item_watcher_.Check();
    store_.watching({.status = status});
  }
  EXPECT_EQ(checks_, std::vector<bool>({false, false, false}));
  watching({.status = store_status::kUnknown});
  item_watcher_.Check();
  EXPECT_EQ(checks_.size(), 4U) << "the store is known not to reply";
}

}  // namespace
}  // namespace cuminswitch
