// A request that crashes each upstream that runs it, as its callers and the
// upstreams see it.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Membership/member_table.h"
#include "take_action.h"

namespace cuminswitch {
namespace {

constexpr hash128 kCrashing{.high = 1, .low = 1};
constexpr hash128 kSound{.high = 2, .low = 2};
constexpr uint64_t kMostCrashes = 3;

class crashing_request_test : public testing::Test {
 protected:
  crashing_request_test()
      : members_({.self = {.host = "h", .incarnation = 1}}),
        router_({.self = members_.self(),
                 .retries = {.share = 0, .burst = 100, .is_shared = true},
                 .replicas = {},
                 .refuse_without_upstream = true},
                members_) {
    auto config = std::make_shared<configuration>();
    config->services = {{.name = "s", .repeatable = true}};
    for (char name = 'a'; name <= 'l'; ++name) {
      config->upstreams.push_back(
          {.name = std::string(1, name), .serves = {"s"}, .max_in_flight = 1});
    }
    config->workspaces = {{.name = "w", .uses = {"s"}}};
    router_.OnConfiguration(now_, config, out_);
    for (char name = 'a'; name <= 'l'; ++name) {
      router_.OnUpstreamReport(
          now_, {.upstream = std::string(1, name), .reachable = true}, out_);
    }
    now_ += std::chrono::seconds(10);
  }

  void Arrive(const hash128& digest, repeat_rule rule, uint32_t max_runs) {
    router_.OnRequest(now_,
                      {.request = ++last_request_,
                       .workspace = "w",
                       .target = "s",
                       .request_digest = digest,
                       .time_limit = std::chrono::seconds(5),
                       .repeats = rule,
                       .max_runs = max_runs},
                      out_);
  }
  std::optional<attempt_id> TakeSent() {
    const auto sent = TakeAction<dispatch_attempt>(out_);
    return sent ? std::optional(sent->attempt) : std::nullopt;
  }
  /// Ends attempts as they come by a crash; returns how many there were.
  uint64_t CrashAll() {
    uint64_t count = 0;
    while (const auto sent = TakeSent()) {
      ++count;
      router_.OnAttemptEnded(
          now_,
          {.attempt = *sent, .result = outcome::kUnknown, .broke_off = true},
          out_);
    }
    return count;
  }

  time_point now_{std::chrono::seconds(1)};
  member_table members_;
  request_router router_;
  action_list out_;
  request_id last_request_ = 0;
};

TEST_F(crashing_request_test, CrashesThreeUpstreamsHoweverOftenItComes) {
  uint64_t crashed = 0;
  for (int i = 0; i < 20; ++i) {
    Arrive(kCrashing, repeat_rule::kRepeatable, 2);
    crashed += CrashAll();
    now_ += std::chrono::milliseconds(100);
  }
  EXPECT_EQ(crashed, kMostCrashes);
}

TEST_F(crashing_request_test, OneThatMayRunOnceIsHeldBackToo) {
  uint64_t crashed = 0;
  for (int i = 0; i < 20; ++i) {
    Arrive(kCrashing, repeat_rule::kOnce, 1);
    crashed += CrashAll();
  }
  EXPECT_EQ(crashed, kMostCrashes);
}

TEST_F(crashing_request_test, ItsCallerIsToldAtOnceAndTruly) {
  Arrive(kCrashing, repeat_rule::kRepeatable, 5);
  EXPECT_EQ(CrashAll(), kMostCrashes);
  const auto first = TakeAction<local_response>(out_);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->result, outcome::kUnknown);
  EXPECT_EQ(first->status, 502U);
  Arrive(kCrashing, repeat_rule::kRepeatable, 5);
  const auto next = TakeAction<local_response>(out_);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->result, outcome::kNotRun);
  EXPECT_EQ(next->status, 503U);
  EXPECT_EQ(next->retry_after, request_quarantine::kQuarantineTime);
}

TEST_F(crashing_request_test, OthersAreServed) {
  Arrive(kCrashing, repeat_rule::kRepeatable, 5);
  CrashAll();
  Arrive(kSound, repeat_rule::kRepeatable, 5);
  EXPECT_TRUE(TakeSent());
}

TEST_F(crashing_request_test, OneThatWaitsIsRefusedAsSoonAsItIsKnown) {
  for (int i = 0; i < 12; ++i) {
    Arrive(kSound, repeat_rule::kRepeatable, 2);
  }
  Arrive(kCrashing, repeat_rule::kRepeatable, 2);
  EXPECT_FALSE(TakeAction<local_response>(out_));
  for (const uint64_t upstream : {1, 2, 3}) {
    router_.quarantine().OnCrash(now_, kCrashing, upstream, now_);
  }
  router_.OnTick(now_, out_);
  const auto answer = TakeAction<local_response>(out_);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result, outcome::kNotRun);
}

// Each break is followed by an answer of the same upstream.
TEST_F(crashing_request_test, OneWhoseUpstreamsOnlyLostConnectionsIsServed) {
  for (int i = 0; i < 12; ++i) {
    Arrive(kCrashing, repeat_rule::kOnce, 1);
    ASSERT_EQ(CrashAll(), 1U) << "attempt " << i;
    out_.clear();
    now_ += std::chrono::seconds(20);
    for (int other = 0; other < 12; ++other) {
      Arrive(kSound, repeat_rule::kOnce, 1);
      const auto sent = TakeSent();
      ASSERT_TRUE(sent);
      router_.OnAttemptAnswered(*sent);
    }
    for (request_id id = last_request_ - 11; id <= last_request_; ++id) {
      router_.OnCallerGone(now_, {.request = id}, out_);
    }
    out_.clear();
  }
}

}  // namespace
}  // namespace cuminswitch
