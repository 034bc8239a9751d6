// The cached list of items that a daemon sends to starting peers.
#include "cuminswitch/Fleet/item_list_cache.h"

#include <gtest/gtest.h>

#include <span>
#include <variant>
#include <vector>

#include "cuminswitch/Fleet/item_view.h"
#include "cuminswitch/Fleet/peer_frame.h"

namespace cuminswitch {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

items_reply_frame Decode(const std::string& bytes) {
  const auto frame = DecodePeerFrame(
      {reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()});
  return std::get<items_reply_frame>(*frame);
}

class item_list_cache_test : public testing::Test {
 protected:
  void Change(revision_number revision) {
    const std::vector<item_change> changes = {
        {.key = "k", .value = "v", .revision = revision}};
    view_.ApplyChanges(changes, revision);
  }

  item_view view_;
  item_list_cache cache_;
};

// Guards against encoding the list of 3,000 items for each of a hundred
// requests, which keeps the seeds of a starting fleet busy for seconds.
TEST_F(item_list_cache_test, ReusesListWithinOneSecond) {
  Change(5);
  for (int i = 0; i < 100; ++i) {
    Change(6 + i);
    const time_point now = kStart + std::chrono::milliseconds(9 * i);
    EXPECT_EQ(Decode(cache_.Get(now, view_, 0)).revision, 6U);
  }
  EXPECT_EQ(cache_.encoded_count(), 1U);
}

TEST_F(item_list_cache_test, DoesNotReuseExpiredList) {
  Change(5);
  cache_.Get(kStart, view_, 0);
  Change(6);
  const auto later =
      Decode(cache_.Get(kStart + std::chrono::seconds(1), view_, 0));
  EXPECT_EQ(later.revision, 6U);
  EXPECT_TRUE(later.is_complete);
}

TEST_F(item_list_cache_test, EncodesNewListForPeerThatHasCachedRevision) {
  Change(5);
  cache_.Get(kStart, view_, 0);
  Change(6);
  EXPECT_EQ(Decode(cache_.Get(kStart, view_, 5)).revision, 6U);
}

}  // namespace
}  // namespace cuminswitch
