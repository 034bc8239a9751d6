// When a change that a peer has counts as overdue.
#include "cuminswitch/Fleet/revision_lag.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::seconds(100)};

// Guards against requests to an upstream that left, by a daemon that waits for
// its call to an unresponsive store to time out before it asks its peers.
TEST(revision_lag_test, ChangeThatOnlyPeersHaveIsOverdueWithinHalfASecond) {
  revision_lag lag;
  lag.OnPeerRevision(kStart, 8, 7);
  EXPECT_FALSE(lag.IsOverdue(kStart + milliseconds(100), 7));
  lag.OnPeerRevision(kStart + milliseconds(300), 9, 7);
  EXPECT_TRUE(lag.IsOverdue(kStart + milliseconds(500), 7));
}

TEST(revision_lag_test, NothingIsOverdueWhileTheStoreReportsEachChange) {
  revision_lag lag;
  for (revision_number revision = 1; revision < 50; ++revision) {
    const time_point now = kStart + milliseconds(120) * revision;
    lag.OnPeerRevision(now, revision + 1, revision);
    EXPECT_FALSE(lag.IsOverdue(now + milliseconds(110), revision)) << revision;
  }
}

TEST(revision_lag_test, ChangeThatArrivedIsNotOverdue) {
  revision_lag lag;
  lag.OnPeerRevision(kStart, 8, 7);
  EXPECT_FALSE(lag.IsOverdue(kStart + std::chrono::seconds(5), 8));
  lag.OnPeerRevision(kStart + std::chrono::seconds(5), 9, 8);
  EXPECT_FALSE(lag.IsOverdue(kStart + milliseconds(5100), 8));
}

}  // namespace
}  // namespace cuminswitch
