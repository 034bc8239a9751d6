// Upstreams that ask this daemon for rest, or say that they leave.
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Membership/member_table.h"
#include "cuminswitch/Support/hash.h"
#include "take_action.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class upstream_notice_test : public testing::Test {
 protected:
  upstream_notice_test()
      : members_({.self = {.host = "h", .incarnation = 1}}),
        router_({.self = members_.self(),
                 .replicas = {},
                 .refuse_without_upstream = true},
                members_) {
    auto config = std::make_shared<configuration>();
    config->services = {{.name = "s", .repeatable = true}};
    for (const std::string& name : names_) {
      config->upstreams.push_back(
          {.name = name, .serves = {"s"}, .max_in_flight = 9});
    }
    config->workspaces = {{.name = "w", .uses = {"s"}}};
    router_.OnConfiguration(now_, config, out_);
    for (const std::string& name : names_) {
      Start(name, 1);
    }
    now_ += seconds(10);
  }

  void Start(const std::string& upstream, uint64_t started) {
    router_.OnUpstreamReport(now_,
                             {.upstream = upstream,
                              .reachable = true,
                              .incarnation = started,
                              .started = started},
                             out_);
  }
  void Arrive(duration patience = seconds(2)) {
    router_.OnRequest(now_,
                      {.request = ++last_request_,
                       .workspace = "w",
                       .target = "s",
                       .time_limit = patience,
                       .repeats = repeat_rule::kRepeatable},
                      out_);
  }
  std::optional<dispatch_attempt> TakeSent() {
    return TakeAction<dispatch_attempt>(out_);
  }
  /// The upstream of \p sent refuses it and asks for rest.
  void AskForRest(const dispatch_attempt& sent, duration rest) {
    router_.OnBackoffRequested(now_, sent.attempt, rest);
    router_.OnAttemptEnded(now_,
                           {.attempt = sent.attempt,
                            .result = outcome::kNotRun,
                            .refused_busy = true},
                           out_);
  }
  void RestAll(duration rest) {
    Arrive();
    for (size_t i = 0; i < names_.size(); ++i) {
      AskForRest(*TakeSent(), rest);
    }
    out_.clear();
  }
  /// Sends requests for \p time, and answers them; returns where they went.
  std::set<std::string> Serve(duration time) {
    std::set<std::string> used;
    for (const time_point end = now_ + time; now_ < end;
         now_ += milliseconds(20)) {
      Arrive();
      while (const auto sent = TakeSent()) {
        used.insert(sent->upstream);
        router_.OnAttemptEnded(
            now_, {.attempt = sent->attempt, .result = outcome::kAnswered},
            out_);
      }
      EXPECT_FALSE(TakeAction<local_response>(out_));
    }
    return used;
  }

  const std::vector<std::string> names_ = {"a", "b", "c"};
  time_point now_{seconds(1)};
  member_table members_;
  request_router router_;
  action_list out_;
  request_id last_request_ = 0;
};

TEST_F(upstream_notice_test, OneThatAskedForRestGetsNothingUntilItsEnd) {
  Arrive();
  const auto sent = *TakeSent();
  AskForRest(sent, seconds(3));
  EXPECT_NE(TakeSent()->upstream, sent.upstream);
  EXPECT_FALSE(Serve(milliseconds(2980)).contains(sent.upstream));
  EXPECT_TRUE(Serve(seconds(3)).contains(sent.upstream));
}

TEST_F(upstream_notice_test, AShorterTimeDoesNotEndIt) {
  Arrive();
  Arrive();
  Arrive();
  Arrive();
  std::vector<dispatch_attempt> all;
  while (const auto sent = TakeSent()) {
    all.push_back(*sent);
  }
  std::optional<dispatch_attempt> first;
  for (const dispatch_attempt& sent : all) {
    if (!first) {
      first = sent;
      AskForRest(sent, seconds(3));
    } else if (sent.upstream == first->upstream) {
      AskForRest(sent, milliseconds(100));
    }
  }
  out_.clear();
  EXPECT_FALSE(Serve(milliseconds(2900)).contains(first->upstream));
}

TEST_F(upstream_notice_test, WithAllAtRestARequestIsRefusedAtOnceWithTheTime) {
  RestAll(seconds(4));
  now_ += seconds(1);
  Arrive();
  EXPECT_FALSE(TakeSent());
  const auto answer = TakeAction<local_response>(out_);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result, outcome::kNotRun);
  EXPECT_EQ(answer->status, 503U);
  EXPECT_GE(answer->retry_after, seconds(3));
  EXPECT_LE(answer->retry_after, milliseconds(3'760));
}

TEST_F(upstream_notice_test, OneThatCanWaitForTheEndOfARestIsServed) {
  Serve(seconds(3));
  RestAll(milliseconds(500));
  Arrive();
  EXPECT_FALSE(TakeSent());
  EXPECT_FALSE(TakeAction<local_response>(out_));
  now_ += milliseconds(510);
  router_.OnTick(now_, out_);
  EXPECT_TRUE(TakeSent());
}

TEST_F(upstream_notice_test, TheEndOfALimitEndsNoRest) {
  Arrive();
  const auto sent = *TakeSent();
  router_.OnLimit(now_, Hash64(sent.upstream), now_,
                  {.kind = notice_kind::kNamed, .rate = 5});
  AskForRest(sent, seconds(3));
  out_.clear();
  now_ += milliseconds(10);
  router_.OnLimit(now_, Hash64(sent.upstream), now_, {});
  EXPECT_FALSE(Serve(seconds(2)).contains(sent.upstream));
}

TEST_F(upstream_notice_test, APermitDoesNotBreakARest) {
  Arrive();
  const auto sent = *TakeSent();
  for (const std::string& name : names_) {
    router_.OnLimit(now_, Hash64(name), now_,
                    {.kind = notice_kind::kNamed, .rate = 5});
  }
  Arrive();
  auto asked = router_.TakePermitRequests();
  ASSERT_EQ(asked.size(), 1U);
  // The upstream that is asked about wants rest meanwhile.
  const uint64_t upstream = asked[0].upstream;
  ASSERT_TRUE(sent.upstream.size() == 1);
  router_.OnBackoffRequested(now_, sent.attempt, seconds(3));
  router_.OnPermit(
      now_,
      {.request = asked[0].request, .upstream = upstream, .is_granted = true},
      out_);
  const auto next = TakeSent();
  EXPECT_TRUE(!next || next->upstream != sent.upstream);
}

TEST_F(upstream_notice_test, OneThatSaysThatItLeavesGetsNothing) {
  Arrive();
  const auto sent = *TakeSent();
  EXPECT_TRUE(router_.OnUpstreamLeaving(sent.attempt));
  EXPECT_FALSE(router_.OnUpstreamLeaving(sent.attempt)) << "it was said before";
  router_.OnAttemptEnded(
      now_, {.attempt = sent.attempt, .result = outcome::kAnswered}, out_);
  out_.clear();
  Start(sent.upstream, 1);
  EXPECT_FALSE(Serve(seconds(8)).contains(sent.upstream));
}

TEST_F(upstream_notice_test, NoticesAreOfOneStart) {
  Arrive();
  const auto sent = *TakeSent();
  router_.OnUpstreamLeaving(sent.attempt);
  router_.OnBackoffRequested(now_, sent.attempt, seconds(60));
  Start(sent.upstream, 2);
  // What the earlier start says afterwards is not of this one.
  EXPECT_FALSE(router_.OnUpstreamLeaving(sent.attempt));
  router_.OnBackoffRequested(now_, sent.attempt, seconds(60));
  router_.OnAttemptEnded(
      now_, {.attempt = sent.attempt, .result = outcome::kAnswered}, out_);
  out_.clear();
  EXPECT_TRUE(Serve(seconds(5)).contains(sent.upstream));
}

// Its answer may yet come; elsewhere it would only wait.
TEST_F(upstream_notice_test, ASilentUpstreamIsNotLeftForOnesAtRest) {
  Arrive();
  const auto silent = *TakeSent();
  EXPECT_TRUE(router_.CanPlaceElsewhere(now_, last_request_));
  std::set<std::string> at_rest;
  while (at_rest.size() < names_.size() - 1) {
    Arrive();
    const auto sent = *TakeSent();
    if (sent.upstream != silent.upstream) {
      at_rest.insert(sent.upstream);
      AskForRest(sent, seconds(3));
    }
    out_.clear();
    now_ += milliseconds(60);
  }
  EXPECT_FALSE(router_.CanPlaceElsewhere(now_, silent.request));
}

}  // namespace
}  // namespace cuminswitch
