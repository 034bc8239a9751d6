// Quarantine of requests that crash the upstreams that run them.
#include "cuminswitch/Admission/request_quarantine.h"

#include <gtest/gtest.h>

#include <initializer_list>
#include <utility>
#include <vector>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr hash128 kRequest{.high = 1, .low = 2};
constexpr hash128 kOther{.high = 3, .low = 4};

class request_quarantine_test : public testing::Test {
 protected:
  bool IsQuarantined(const hash128& request = kRequest) const {
    return quarantine_.TimeLeft(now_, request).has_value();
  }
  /// Ends an execution without a response. It was sent at the previous value of
  /// `now_`, so it doesn't overlap with an earlier one.
  void Crash(uint64_t upstream, const hash128& request = kRequest) {
    now_ += kExecutionTime;
    quarantine_.OnCrash(now_, request, upstream, now_ - kExecutionTime);
  }
  void CrashThree(const hash128& request = kRequest) {
    for (const uint64_t upstream : {1, 2, 3}) {
      Crash(upstream, request);
    }
  }
  /// Ends overlapping executions at the same moment.
  void CrashAtOnce(std::initializer_list<uint64_t> upstreams) {
    now_ += kExecutionTime;
    for (const uint64_t upstream : upstreams) {
      quarantine_.OnCrash(now_, kRequest, upstream, now_ - kExecutionTime);
    }
  }
  void Complete(const hash128& request, time_point sent) {
    quarantine_.OnCompleted(now_, request, sent);
  }
  void ReceiveReport(uint64_t upstream, duration age = duration(0)) {
    quarantine_.OnUpdate(now_, {.crashes = {{.request = kRequest,
                                             .upstream = upstream,
                                             .age = age,
                                             .took = kExecutionTime}},
                                .completions = {}});
  }

  void ReceiveResponse(uint64_t upstream, duration age) {
    quarantine_.OnUpdate(now_,
                         {.responses = {{.upstream = upstream, .age = age}}});
  }

  static constexpr duration kExecutionTime = milliseconds(40);
  time_point now_{seconds(100)};
  request_quarantine quarantine_{{.keeps_events = true}};
};

TEST_F(request_quarantine_test, QuarantinesAfterThreeCrashesInSequence) {
  Crash(1);
  Crash(2);
  EXPECT_FALSE(IsQuarantined());
  Crash(3);
  EXPECT_TRUE(IsQuarantined());
  EXPECT_FALSE(IsQuarantined(kOther));
}

TEST_F(request_quarantine_test, CountsEachUpstreamOnce) {
  for (int i = 0; i < 5; ++i) {
    Crash(1);
    ReceiveReport(1);
  }
  EXPECT_FALSE(IsQuarantined());
}

// Guards against a partitioned daemon that quarantines requests because its own
// connections were lost.
TEST_F(request_quarantine_test, LostContactDropsCrashes) {
  using contact = request_quarantine::contact;
  quarantine_.SetContact(now_, contact::kInDoubt);
  CrashThree();
  quarantine_.SetContact(now_, contact::kLost);
  Crash(4);
  quarantine_.SetContact(now_, contact::kReached);
  EXPECT_FALSE(IsQuarantined());
  EXPECT_TRUE(quarantine_.TakeUpdate(now_).IsEmpty());
  EXPECT_EQ(quarantine_.size(), 0U);
}

TEST_F(request_quarantine_test, CrashesInDoubtCountOnceContactIsReached) {
  using contact = request_quarantine::contact;
  quarantine_.SetContact(now_, contact::kInDoubt);
  CrashThree();
  EXPECT_FALSE(IsQuarantined());
  EXPECT_TRUE(quarantine_.TakeUpdate(now_).IsEmpty());
  quarantine_.SetContact(now_, contact::kReached);
  EXPECT_TRUE(IsQuarantined());
  EXPECT_EQ(quarantine_.TakeUpdate(now_).crashes.size(), 3U);
}

// Upstreams may crash at once for another reason than the request.
TEST_F(request_quarantine_test, CountsOverlappingExecutionsOnce) {
  CrashAtOnce({1, 2, 3, 4, 5, 6, 7, 8});
  EXPECT_FALSE(IsQuarantined());
}

TEST_F(request_quarantine_test,
       QuarantinesCopiesSentAtOnceAfterFewerCrashesInSequence) {
  CrashAtOnce({1, 2, 3});
  Crash(4);
  EXPECT_FALSE(IsQuarantined());
  CrashAtOnce({5});
  EXPECT_TRUE(IsQuarantined());
}

TEST_F(request_quarantine_test, CountsCrashesReportedByPeers) {
  Crash(1);
  ReceiveReport(3, seconds(9));
  ReceiveReport(2, seconds(5));
  EXPECT_TRUE(IsQuarantined());
  const auto events = quarantine_.TakeEvents();
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(events[0].source, crash_source::kOwn);
  EXPECT_EQ(events[1].what, quarantine_event::kind::kQuarantined);
  EXPECT_EQ(events[1].source, crash_source::kPeer);
  EXPECT_EQ(events[1].crashes, 3U);
}

TEST_F(request_quarantine_test, ReturnsEachUpdateOnce) {
  Crash(1);
  const auto update = quarantine_.TakeUpdate(now_ + seconds(2)).crashes;
  ASSERT_EQ(update.size(), 1U);
  EXPECT_EQ(update[0].upstream, 1U);
  EXPECT_EQ(update[0].age, seconds(2));
  EXPECT_EQ(update[0].took, kExecutionTime);
  EXPECT_TRUE(quarantine_.TakeUpdate(now_).IsEmpty());
}

// The peer that observed a crash may fail before it has reported it to all.
TEST_F(request_quarantine_test, RelaysRepeatedCrashesWithTheirAge) {
  ReceiveReport(2, seconds(3));
  EXPECT_TRUE(quarantine_.TakeUpdate(now_).IsEmpty());
  ReceiveReport(3, seconds(1));
  const auto update = quarantine_.TakeUpdate(now_ + seconds(2)).crashes;
  ASSERT_EQ(update.size(), 1U);
  EXPECT_EQ(update[0].upstream, 3U);
  EXPECT_EQ(update[0].age, seconds(3));
}

TEST_F(request_quarantine_test, ListsActiveCrashesDuringTheQuarantine) {
  Crash(5, kOther);
  CrashThree();
  now_ += seconds(300);
  EXPECT_EQ(quarantine_.ListActiveCrashes(now_).size(), 3U);
  EXPECT_EQ(quarantine_.ListOwn(now_).size(), 1U);
}

// A lost connection is not a crash.
TEST_F(request_quarantine_test, ClearsCrashesOfAnUpstreamThatResponds) {
  CrashThree();
  quarantine_.OnUpstreamResponse(3, now_);
  EXPECT_TRUE(IsQuarantined()) << "the attempt was sent before the crash";
  quarantine_.OnUpstreamResponse(3, now_ + milliseconds(1));
  EXPECT_FALSE(IsQuarantined());
  ReceiveReport(3);
  EXPECT_FALSE(IsQuarantined()) << "the peer hasn't received the response";
  EXPECT_TRUE(quarantine_.ListActiveCrashes(now_).empty());
  Crash(4);
  EXPECT_TRUE(IsQuarantined());
}

TEST_F(request_quarantine_test, ClearsOnALaterExecutionThatCompletes) {
  Crash(1);
  Crash(2);
  const time_point sent = now_ + milliseconds(1);
  now_ += seconds(1);
  Complete(kRequest, sent);
  Crash(3);
  EXPECT_FALSE(IsQuarantined());
  Crash(4);
  Crash(5);
  EXPECT_TRUE(IsQuarantined());
}

TEST_F(request_quarantine_test, IgnoresCompletionsOfEarlierExecutions) {
  CrashThree();
  Complete(kRequest, now_ - seconds(2));
  EXPECT_TRUE(IsQuarantined());
}

TEST_F(request_quarantine_test, ReportsCompletionsToPeers) {
  Crash(1);
  Crash(2);
  now_ += milliseconds(1);
  Complete(kRequest, now_);
  const auto update = quarantine_.TakeUpdate(now_ + seconds(1));
  ASSERT_EQ(update.completions.size(), 1U);
  EXPECT_EQ(update.completions[0].age, seconds(1));

  request_quarantine peer;
  for (const auto& [upstream, age] :
       {std::pair(7, seconds(9)), {8, seconds(6)}, {9, seconds(3)}}) {
    peer.OnCrash(now_ - age, kRequest, static_cast<uint64_t>(upstream),
                 now_ - age - kExecutionTime);
  }
  EXPECT_TRUE(peer.TimeLeft(now_, kRequest));
  peer.OnUpdate(now_ + seconds(1), update);
  EXPECT_FALSE(peer.TimeLeft(now_, kRequest));
}

// Guards against a sound part that one daemon quarantines though another has
// completed requests with it after each crash.
TEST_F(request_quarantine_test, AnswersAReportThatACompletionRefutes) {
  const std::vector<hash128> parts = {DigestPart("s", "a")};
  request_quarantine peer;
  for (uint64_t upstream = 1; upstream <= 5; ++upstream) {
    now_ += kExecutionTime;
    quarantine_.OnCrash(now_, {.high = 7, .low = upstream}, upstream,
                        now_ - kExecutionTime, parts);
    peer.OnUpdate(now_, quarantine_.TakeUpdate(now_));
    now_ += seconds(1);
    peer.OnPartsCompleted(now_, parts, now_ - kExecutionTime);
  }
  ASSERT_TRUE(IsQuarantined(parts[0]));
  peer.OnUpdate(now_, {.crashes = quarantine_.ListActiveCrashes(now_)});
  quarantine_.OnUpdate(now_, peer.TakeUpdate(now_));
  EXPECT_FALSE(IsQuarantined(parts[0]));
}

// Other requests that ran at the crashed upstreams were aborted and retried.
TEST_F(request_quarantine_test, QuarantineClearsRequestsThatRanBesideIt) {
  Crash(1, kOther);
  Crash(2, kOther);
  CrashThree();
  Crash(3, kOther);
  Crash(4, kOther);
  Crash(5, kOther);
  EXPECT_FALSE(IsQuarantined(kOther));
  Crash(6, kOther);
  EXPECT_TRUE(IsQuarantined(kOther));
}

TEST_F(request_quarantine_test, QuarantineLastsFromTheLastCrash) {
  Crash(1);
  now_ += seconds(300);
  Crash(2);
  Crash(3);
  now_ += request_quarantine::kQuarantineTime - milliseconds(1);
  quarantine_.Expire(now_);
  EXPECT_EQ(quarantine_.TimeLeft(now_, kRequest), milliseconds(1));
  EXPECT_EQ(quarantine_.CountQuarantined(), 1U);
  now_ += milliseconds(1);
  quarantine_.Expire(now_);
  EXPECT_FALSE(IsQuarantined());
  EXPECT_EQ(quarantine_.size(), 0U);
}

// Guards against a request that the whole fleet rejects because one daemon lost
// its links to some upstreams, which run on.
TEST_F(request_quarantine_test, ResponsesToPeersRefuteCrashes) {
  CrashThree();
  quarantine_.OnStored(now_, std::vector{kRequest});
  now_ += milliseconds(300);
  ReceiveResponse(2, milliseconds(50));
  EXPECT_FALSE(IsQuarantined());
  EXPECT_TRUE(quarantine_.ListOwn(now_).empty());
  quarantine_.OnStored(now_, std::vector{kRequest});
  EXPECT_FALSE(IsQuarantined()) << "the record is of refuted crashes";
}

TEST_F(request_quarantine_test, ResponseBeforeTheCrashRefutesNothing) {
  CrashThree();
  now_ += milliseconds(300);
  ReceiveResponse(2, milliseconds(300));
  EXPECT_TRUE(IsQuarantined());
}

// Guards against a quarantine by a report that a slow link delivers after the
// one that refutes it.
TEST_F(request_quarantine_test, ResponseRefutesACrashThatIsReportedLater) {
  ReceiveResponse(3, duration(0));
  ReceiveReport(1, milliseconds(600));
  ReceiveReport(2, milliseconds(400));
  ReceiveReport(3, milliseconds(200));
  EXPECT_FALSE(IsQuarantined());
}

TEST_F(request_quarantine_test, ReportsAnUpstreamThatResponds) {
  CrashThree();
  quarantine_.TakeUpdate(now_);
  now_ += milliseconds(200);
  quarantine_.OnUpstreamResponse(1, now_ - milliseconds(1));
  quarantine_.OnUpstreamResponse(1, now_);
  const quarantine_update update = quarantine_.TakeUpdate(now_);
  ASSERT_EQ(update.responses.size(), 1U);
  EXPECT_EQ(update.responses[0].upstream, 1U);
  EXPECT_EQ(update.responses[0].age, milliseconds(1));
}

TEST_F(request_quarantine_test, VerifiesEachCrashOnce) {
  Crash(1);
  now_ += milliseconds(200);
  EXPECT_TRUE(quarantine_.TakeUnverified(now_).empty())
      << "one lost connection is common";
  Crash(2);
  now_ += milliseconds(200);
  EXPECT_EQ(quarantine_.TakeUnverified(now_), (std::vector<uint64_t>{1, 2}));
  EXPECT_TRUE(quarantine_.TakeUnverified(now_).empty());
}

// Guards against callers told to wait for ten minutes because of lost
// connections.
TEST_F(request_quarantine_test, RetryTimeIsShortUntilCrashesAreVerified) {
  CrashThree();
  EXPECT_EQ(quarantine_.RetryDelay(now_, kRequest), seconds(1));
  EXPECT_EQ(quarantine_.ListOwn(now_).front().time_left,
            request_quarantine::kQuarantineTime);
  now_ += seconds(1);
  EXPECT_EQ(quarantine_.RetryDelay(now_, kRequest),
            request_quarantine::kQuarantineTime - seconds(1));
}

TEST_F(request_quarantine_test, QuarantinesRequestsListedByTheStore) {
  quarantine_.OnStored(now_, std::vector{kRequest});
  quarantine_.OnStored(now_, std::vector{kRequest});
  EXPECT_TRUE(IsQuarantined());
  EXPECT_EQ(quarantine_.TakeEvents().size(), 1U);
  EXPECT_TRUE(quarantine_.ListOwn(now_).empty());
  // A lease that expired during a store outage doesn't end the quarantine.
  quarantine_.OnStored(now_, {});
  EXPECT_TRUE(IsQuarantined());
}

// Guards against a sound part that daemons refuse because of a stored record
// whose writer is gone: they observed no crash, so they try nothing themselves.
TEST_F(request_quarantine_test, CompletionAtAPeerRefutesAStoredPart) {
  const std::vector<hash128> parts = {DigestPart("s", "a")};
  request_quarantine peer;
  peer.OnCrash(now_, kOther, 1, now_ - kExecutionTime, parts);
  peer.OnPartsCompleted(now_ + milliseconds(2), parts, now_ + milliseconds(1));
  peer.TakeUpdate(now_);
  now_ += seconds(1);
  peer.OnStored(now_, parts);
  quarantine_.OnStored(now_, parts);
  ASSERT_FALSE(peer.TimeLeft(now_, parts[0]));
  ASSERT_TRUE(IsQuarantined(parts[0]));
  peer.OnPartsCompleted(now_ + kExecutionTime, parts, now_ - milliseconds(1));
  EXPECT_TRUE(peer.TakeUpdate(now_).IsEmpty())
      << "it was sent before the record was known";
  now_ += seconds(1);
  peer.OnPartsCompleted(now_, parts, now_ - kExecutionTime);
  quarantine_.OnUpdate(now_, peer.TakeUpdate(now_));
  EXPECT_FALSE(IsQuarantined(parts[0]));
  quarantine_.OnStored(now_, parts);
  EXPECT_FALSE(IsQuarantined(parts[0])) << "the record is still listed";
}

// A large part of a large fleet crashes at once, with all requests it runs.
TEST_F(request_quarantine_test, MassCrashDoesNotEvictQuarantines) {
  CrashThree();
  for (uint64_t i = 0; i < 20'000; ++i) {
    Crash(9, {.high = i, .low = 9});
    now_ -= kExecutionTime;
  }
  EXPECT_TRUE(IsQuarantined());
  EXPECT_LE(quarantine_.size(), 4096U);
  EXPECT_LE(quarantine_.TakeUpdate(now_).crashes.size(), 16U);
}

}  // namespace
}  // namespace cuminswitch
