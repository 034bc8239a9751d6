// One leader at a time, also when hosts are suspended and answers are lost.
#include "cuminswitch/Fleet/leader_election.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <string>

#include "idle_item_store.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

/// A store with one key and its lease, on a clock that the test moves. Calls
/// wait until the test answers them.
class fake_store : public idle_item_store {
 public:
  void Write(const conditional_write& write,
             std::function<void(store_write)> done) override {
    calls.push_back([this, write, done](bool is_lost) {
      store_write answer{.status = store_status::kConflict};
      if (holder_lease == 0) {
        holder_lease = write.lease;
        holder = write.value;
        answer = {.status = store_status::kDone, .revision = ++revision};
      }
      done(is_lost ? store_write{} : answer);
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
      const bool lives = lease == holder_lease;
      done(is_lost ? store_lease{}
                   : store_lease{.status = lives ? store_status::kDone
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
  void AnswerAll(bool is_lost = false) {
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
  /// Lets \p span pass in small steps, with all answers.
  void Pass(leader_election& election, milliseconds span) {
    const time_point end = now_ + span;
    for (; now_ < end; now_ += milliseconds(50)) {
      election.OnTick(now_, store_.holder);
      store_.AnswerAll();
    }
  }

  fake_store store_;
  time_point now_{std::chrono::seconds(100)};
};

// Symptom: two leaders' orders meet at one engine.
// Sequence: a leader dies right after an order; its successor is elected.
TEST_F(leader_election_test, ANewLeaderWaitsBeforeItsFirstOrder) {
  leader_election election = MakeElection("a");
  Pass(election, milliseconds(200));
  EXPECT_TRUE(election.IsLeading(now_));
  EXPECT_FALSE(election.MaySendCommand(now_));
  Pass(election, milliseconds(3100));
  EXPECT_TRUE(election.MaySendCommand(now_));
}

TEST_F(leader_election_test, WhileAnotherLeadsNothingIsClaimed) {
  store_.holder_lease = 77;
  store_.holder = "b";
  leader_election election = MakeElection("a");
  Pass(election, milliseconds(2000));
  EXPECT_FALSE(election.IsLeading(now_));
  EXPECT_EQ(store_.last_lease, 0U);
}

// Symptom: a host that was suspended sends an order beside its successor's.
// Sequence: the leader is suspended past its lease and wakes up.
// Cause: a clock that stands still while the host does.
TEST_F(leader_election_test, AfterASuspensionNothingIsSent) {
  leader_election election = MakeElection("a");
  Pass(election, milliseconds(4000));
  ASSERT_TRUE(election.MaySendCommand(now_));
  now_ += std::chrono::seconds(2);
  EXPECT_FALSE(election.MaySendCommand(now_));
  store_.Expire();
  Pass(election, milliseconds(100));
  EXPECT_FALSE(election.MaySendCommand(now_))
      << "a new term begins with the wait";
}

TEST_F(leader_election_test, WithoutRenewalTheLeadEndsBeforeTheLease) {
  leader_election election = MakeElection("a");
  Pass(election, milliseconds(4000));
  const time_point last_renewal_at_most = now_;
  while (election.MaySendCommand(now_)) {
    election.OnTick(now_, store_.holder);
    store_.AnswerAll(true);
    now_ += milliseconds(10);
  }
  EXPECT_LT(now_ - last_renewal_at_most, milliseconds(1500));
}

// Sequence: the claim's answer is lost, though it was done.
TEST_F(leader_election_test, ALostAnswerToTheClaimIsNoLead) {
  leader_election election = MakeElection("a");
  election.OnTick(now_, "");
  const auto lease = store_.calls.front();
  store_.calls.pop_front();
  lease(false);
  store_.AnswerAll(true);
  EXPECT_EQ(store_.holder, "a");
  EXPECT_FALSE(election.IsLeading(now_));
}

TEST_F(leader_election_test, AResignedLeaderNeverLeadsAgain) {
  leader_election election = MakeElection("a");
  Pass(election, milliseconds(4000));
  election.Resign();
  EXPECT_EQ(store_.holder, "");
  Pass(election, milliseconds(4000));
  EXPECT_FALSE(election.IsLeading(now_));
}

TEST_F(leader_election_test, FencesGrowFromTermToTerm) {
  leader_election election = MakeElection("a");
  Pass(election, milliseconds(1000));
  const revision_number first = election.fence();
  store_.Expire();
  Pass(election, milliseconds(2000));
  EXPECT_GT(election.fence(), first);
}

}  // namespace
}  // namespace cuminswitch
