// At most one leader at a time, even if hosts are suspended or replies are
// lost.
#include "cuminswitch/Fleet/leader_election.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <string>

#include "idle_item_store.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

/// A store with one key and its lease, on a clock that the test advances. Calls
/// wait until the test completes them.
class fake_store : public idle_item_store {
 public:
  void Write(const conditional_write& write,
             std::function<void(store_write)> done) override {
    calls.push_back([this, write, done](bool is_lost) {
      store_write reply{.status = store_status::kConflict};
      if (holder_lease == 0) {
        holder_lease = write.lease;
        holder = write.value;
        reply = {.status = store_status::kDone, .revision = ++revision};
      }
      done(is_lost ? store_write{} : reply);
    });
  }
  void GrantLease(milliseconds time_to_live,
                  std::function<void(store_lease)> done) override {
    calls.push_back([this, time_to_live, done](bool is_lost) {
      const lease_number lease = ++last_lease;
      done(is_lost ? store_lease{}
                   : store_lease{.status = store_status::kDone,
                                 .lease = lease,
                                 .time_to_live = time_to_live});
    });
  }
  void KeepLease(lease_number lease,
                 std::function<void(store_lease)> done) override {
    calls.push_back([this, lease, done](bool is_lost) {
      const bool is_valid = lease == holder_lease;
      done(is_lost ? store_lease{}
                   : store_lease{.status = is_valid ? store_status::kDone
                                                    : store_status::kNoLease,
                                 .lease = lease,
                                 .time_to_live = milliseconds(1500)});
    });
  }
  void EndLease(lease_number lease) override {
    if (lease == holder_lease) {
      Expire();
    }
  }
  void Expire() {
    holder_lease = 0;
    holder.clear();
  }
  void CompleteAll(bool is_lost = false) {
    while (!calls.empty()) {
      const auto call = calls.front();
      calls.pop_front();
      call(is_lost);
    }
  }

  std::deque<std::function<void(bool)>> calls;
  lease_number last_lease = 0;
  lease_number holder_lease = 0;
  std::string holder;
  revision_number revision = 100;
};

class leader_election_test : public testing::Test {
 protected:
  leader_election MakeElection(const std::string& name) {
    return leader_election({.self_name = name,
                            .key = "leader",
                            .handover_gap = milliseconds(3000)},
                           store_);
  }
  /// Advances the clock by \p span in small steps, and completes all calls.
  void Advance(leader_election& election, milliseconds span) {
    const time_point end = now_ + span;
    for (; now_ < end; now_ += milliseconds(50)) {
      election.OnTick(now_, store_.holder);
      store_.CompleteAll();
    }
  }

  fake_store store_;
  time_point now_{std::chrono::seconds(100)};
};

// Guards against commands of two leaders at the same engine: a leader fails
// right after a command, and its successor is elected.
TEST_F(leader_election_test, WaitsBeforeFirstCommandOfTerm) {
  leader_election election = MakeElection("a");
  Advance(election, milliseconds(200));
  EXPECT_TRUE(election.IsLeading(now_));
  EXPECT_FALSE(election.MaySendCommand(now_));
  Advance(election, milliseconds(3100));
  EXPECT_TRUE(election.MaySendCommand(now_));
}

TEST_F(leader_election_test, DoesNotClaimWhileAnotherLeads) {
  store_.holder_lease = 77;
  store_.holder = "b";
  leader_election election = MakeElection("a");
  Advance(election, milliseconds(2000));
  EXPECT_FALSE(election.IsLeading(now_));
  EXPECT_EQ(store_.last_lease, 0U);
}

// Guards against commands of a former leader: its host is suspended until after
// the lease has expired, and resumes. A clock that stops during the suspension
// would not show that.
TEST_F(leader_election_test, SendsNoCommandAfterSuspension) {
  leader_election election = MakeElection("a");
  Advance(election, milliseconds(4000));
  ASSERT_TRUE(election.MaySendCommand(now_));
  now_ += std::chrono::seconds(2);
  EXPECT_FALSE(election.MaySendCommand(now_));
  store_.Expire();
  Advance(election, milliseconds(100));
  EXPECT_FALSE(election.MaySendCommand(now_))
      << "a new term begins with the handover gap";
}

TEST_F(leader_election_test, EndsLeadershipBeforeLeaseExpires) {
  leader_election election = MakeElection("a");
  Advance(election, milliseconds(4000));
  const time_point last_renewal_at_most = now_;
  while (election.MaySendCommand(now_)) {
    election.OnTick(now_, store_.holder);
    store_.CompleteAll(true);
    now_ += milliseconds(10);
  }
  EXPECT_LT(now_ - last_renewal_at_most, milliseconds(1500));
}

// The reply to the claim is lost although the claim was executed.
TEST_F(leader_election_test, DoesNotLeadAfterLostReplyToClaim) {
  leader_election election = MakeElection("a");
  election.OnTick(now_, "");
  const auto lease = store_.calls.front();
  store_.calls.pop_front();
  lease(false);
  store_.CompleteAll(true);
  EXPECT_EQ(store_.holder, "a");
  EXPECT_FALSE(election.IsLeading(now_));
}

TEST_F(leader_election_test, DoesNotLeadAfterResignation) {
  leader_election election = MakeElection("a");
  Advance(election, milliseconds(4000));
  election.Resign();
  EXPECT_EQ(store_.holder, "");
  Advance(election, milliseconds(4000));
  EXPECT_FALSE(election.IsLeading(now_));
}

// Guards against a leader that reaches no engine, but the store: weights would
// not be rolled out until it reaches one.
TEST_F(leader_election_test, IneligibleLeaderStandsDown) {
  leader_election election = MakeElection("a");
  Advance(election, milliseconds(4000));
  ASSERT_TRUE(election.IsLeading(now_));
  election.SetEligible(now_, false);
  Advance(election, milliseconds(900));
  EXPECT_TRUE(election.IsLeading(now_));
  Advance(election, milliseconds(200));
  EXPECT_FALSE(election.IsLeading(now_));
  EXPECT_EQ(store_.holder, "");
  Advance(election, milliseconds(2000));
  EXPECT_FALSE(election.IsLeading(now_)) << "claimed while ineligible";
  election.SetEligible(now_, true);
  Advance(election, milliseconds(2000));
  EXPECT_TRUE(election.IsLeading(now_));
}

TEST_F(leader_election_test, IncreasesFenceWithEachTerm) {
  leader_election election = MakeElection("a");
  Advance(election, milliseconds(1000));
  const revision_number first = election.fence();
  store_.Expire();
  Advance(election, milliseconds(2000));
  EXPECT_GT(election.fence(), first);
}

}  // namespace
}  // namespace cuminswitch
