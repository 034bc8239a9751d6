// How a daemon that starts comes to know all items.
#include "cuminswitch/Fleet/item_watcher.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <utility>

#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Log/event_log.h"
#include "idle_item_store.h"

namespace cuminswitch {
namespace {

/// A store whose reads end when the test says so.
class waiting_store : public idle_item_store {
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
             .on_reply = [](time_point /*at*/,
                            revision_number /*revision*/) {}}) {
    item_watcher_.Start();
  }
  void RunTimers() { event_base_loop(base_.get(), EVLOOP_ONCE); }

  std::unique_ptr<event_base, base_deleter> base_;
  event_log log_;
  waiting_store store_;
  item_watcher item_watcher_;
};

// Symptom: 30 s after all of 300 daemons were killed the fleet serves nobody.
// Sequence: all start at once, and each reads a megabyte of items from the
// store, though some have them already. Cause: nobody took a peer's list while
// its own read was under way, so that the store's link stayed full.
TEST_F(item_watcher_test, APeersListEndsTheReadThatIsUnderWay) {
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

TEST_F(item_watcher_test, APartOfTheItemsDoesNotEndIt) {
  item_watcher_.OnPeerItems(
      {.revision = 7,
       .is_complete = false,
       .items = {{.key = "k", .value = "v", .revision = 7}}},
      {});
  EXPECT_TRUE(store_.reading);
}

// Guards against daemons that notice the store's return over a second late.
TEST_F(item_watcher_test, ALostStoreIsNotAskedToHoldItsAnswerBack) {
  store_.reading({.status = store_status::kDone, .revision = 5});
  RunTimers();
  const std::chrono::milliseconds usual = store_.watched_for;
  store_.watching({.status = store_status::kUnknown});
  RunTimers();
  EXPECT_LE(store_.watched_for, usual / 5);
  store_.watching({.status = store_status::kDone, .revision = 5});
  RunTimers();
  EXPECT_EQ(store_.watched_for, usual);
}

}  // namespace
}  // namespace cuminswitch
