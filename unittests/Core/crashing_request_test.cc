// A request that crashes each upstream that runs it: how many upstreams it
// reaches, and which responses its callers get.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Membership/member_table.h"
#include "take_action.h"

namespace cuminswitch {
namespace {

constexpr hash128 kCrashing{.high = 1, .low = 1};
constexpr hash128 kHarmless{.high = 2, .low = 2};
constexpr uint64_t kMaxCrashes = 3;
/// Time in which the crashes under a request are verified.
constexpr duration kVerificationTime = std::chrono::seconds(1);

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

  void SendRequest(const hash128& digest,
                   repeat_rule rule,
                   uint32_t max_runs,
                   std::vector<hash128> parts = {}) {
    router_.OnRequest(now_,
                      {.request = ++last_request_,
                       .workspace = "w",
                       .target = "s",
                       .request_digest = digest,
                       .part_digests = std::move(parts),
                       .time_limit = std::chrono::seconds(5),
                       .repeats = rule,
                       .max_runs = max_runs},
                      out_);
  }
  /// Sends a request that no other is alike, with \p parts.
  void SendNewRequest(std::vector<hash128> parts, uint32_t max_runs = 1) {
    SendRequest({.high = 9, .low = ++last_digest_}, repeat_rule::kRepeatable,
                max_runs, std::move(parts));
  }
  /// Ends the dispatched attempt with a complete response.
  void Complete(bool is_unframed = false) {
    const auto sent = TakeDispatch();
    ASSERT_TRUE(sent);
    router_.OnAttemptEnded(now_,
                           {.attempt = *sent,
                            .result = outcome::kAnswered,
                            .is_unframed = is_unframed},
                           out_);
  }
  std::optional<attempt_id> TakeDispatch() {
    const auto sent = TakeAction<dispatch_attempt>(out_);
    return sent ? std::optional(sent->attempt) : std::nullopt;
  }
  /// Ends all dispatched attempts by a crash of their upstream, retries
  /// included; returns their number.
  uint64_t CrashAttempts() {
    uint64_t count = 0;
    while (const auto sent = TakeDispatch()) {
      ++count;
      router_.OnAttemptEnded(now_,
                             {.attempt = *sent,
                              .result = outcome::kUnknown,
                              .connection_lost = true},
                             out_);
    }
    return count;
  }

  time_point now_{std::chrono::seconds(1)};
  member_table members_;
  request_router router_;
  action_list out_;
  request_id last_request_ = 0;
  uint64_t last_digest_ = 0;
};

TEST_F(crashing_request_test, CrashesThreeUpstreamsAtMost) {
  uint64_t crashed = 0;
  for (int i = 0; i < 20; ++i) {
    SendRequest(kCrashing, repeat_rule::kRepeatable, 2);
    crashed += CrashAttempts();
    now_ += std::chrono::milliseconds(100);
  }
  EXPECT_EQ(crashed, kMaxCrashes);
}

TEST_F(crashing_request_test, QuarantinesAtMostOnceRequests) {
  uint64_t crashed = 0;
  for (int i = 0; i < 20; ++i) {
    SendRequest(kCrashing, repeat_rule::kOnce, 1);
    crashed += CrashAttempts();
  }
  EXPECT_EQ(crashed, kMaxCrashes);
}

TEST_F(crashing_request_test, RefusesWithUnknownThenNotRun) {
  SendRequest(kCrashing, repeat_rule::kRepeatable, 5);
  EXPECT_EQ(CrashAttempts(), kMaxCrashes);
  const auto first = TakeAction<local_response>(out_);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->result, outcome::kUnknown);
  EXPECT_EQ(first->status, 502U);
  SendRequest(kCrashing, repeat_rule::kRepeatable, 5);
  const auto next = TakeAction<local_response>(out_);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->result, outcome::kNotRun);
  EXPECT_EQ(next->status, 503U);
  EXPECT_EQ(next->retry_after, kVerificationTime);
  now_ += kVerificationTime;
  SendRequest(kCrashing, repeat_rule::kRepeatable, 5);
  const auto verified = TakeAction<local_response>(out_);
  ASSERT_TRUE(verified);
  EXPECT_EQ(verified->retry_after,
            request_quarantine::kQuarantineTime - kVerificationTime);
}

TEST_F(crashing_request_test, ServesOtherRequests) {
  SendRequest(kCrashing, repeat_rule::kRepeatable, 5);
  CrashAttempts();
  SendRequest(kHarmless, repeat_rule::kRepeatable, 5);
  EXPECT_TRUE(TakeDispatch());
}

TEST_F(crashing_request_test, RefusesQueuedRequestOnceQuarantined) {
  for (int i = 0; i < 12; ++i) {
    SendRequest(kHarmless, repeat_rule::kRepeatable, 2);
  }
  SendRequest(kCrashing, repeat_rule::kRepeatable, 2);
  EXPECT_FALSE(TakeAction<local_response>(out_));
  for (const uint64_t upstream : {1, 2, 3}) {
    router_.quarantine().OnCrash(now_, kCrashing, upstream, now_);
  }
  router_.OnTick(now_, out_);
  const auto response = TakeAction<local_response>(out_);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result, outcome::kNotRun);
}

// Each lost connection is followed by a response from the same upstream, which
// shows that it has not crashed.
TEST_F(crashing_request_test, ServesRequestAfterLostConnectionsOnly) {
  for (int i = 0; i < 12; ++i) {
    SendRequest(kCrashing, repeat_rule::kOnce, 1);
    ASSERT_EQ(CrashAttempts(), 1U) << "attempt " << i;
    out_.clear();
    now_ += std::chrono::seconds(20);
    for (int other = 0; other < 12; ++other) {
      SendRequest(kHarmless, repeat_rule::kOnce, 1);
      const auto sent = TakeDispatch();
      ASSERT_TRUE(sent);
      router_.OnResponseStarted(*sent);
    }
    for (request_id id = last_request_ - 11; id <= last_request_; ++id) {
      router_.OnCallerDisconnected(now_, {.request = id}, out_);
    }
    out_.clear();
  }
}

const hash128 kFirst = DigestPart("s", "first");
const hash128 kCrashingPart = DigestPart("s", "crashing");
const hash128 kOtherPart = DigestPart("s", "other");

// Guards against a prompt part that crashes upstreams in ever new requests.
TEST_F(crashing_request_test, RefusesNewRequestsWithACrashingPart) {
  uint64_t crashed = 0;
  for (int i = 0; i < 20; ++i) {
    SendNewRequest({kFirst, kCrashingPart});
    crashed += CrashAttempts();
    now_ += std::chrono::milliseconds(50);
    SendNewRequest({kFirst, kOtherPart});
    Complete();
    now_ += std::chrono::milliseconds(50);
  }
  EXPECT_LE(crashed, 5U);
  out_.clear();
  SendNewRequest({kFirst, kOtherPart, kCrashingPart});
  const auto response = TakeAction<local_response>(out_);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result, outcome::kNotRun);
  EXPECT_EQ(response->status, 503U);
  EXPECT_GT(response->retry_after, duration(0));
  EXPECT_EQ(response->quarantined_part, kCrashingPart);
}

// Guards against the retry of a request whose part was quarantined meanwhile.
TEST_F(crashing_request_test, RefusesInsteadOfARetryUnderACrashingPart) {
  SendNewRequest({kFirst, kOtherPart});
  Complete();
  uint64_t crashed = 0;
  for (int i = 0; i < 3; ++i) {
    SendNewRequest({kFirst, kCrashingPart}, 2);
    crashed += CrashAttempts();
    now_ += std::chrono::milliseconds(50);
  }
  EXPECT_LE(crashed, 5U);
  std::optional<local_response> last;
  while (const auto response = TakeAction<local_response>(out_)) {
    last = response;
  }
  ASSERT_TRUE(last);
  EXPECT_TRUE(last->quarantined_part);
}

// Guards against a request with a crashing part that waits in the queue.
TEST_F(crashing_request_test, RefusesQueuedRequestOfACrashingPart) {
  for (int i = 0; i < 12; ++i) {
    SendRequest(kHarmless, repeat_rule::kRepeatable, 2, {kFirst, kOtherPart});
  }
  SendNewRequest({kFirst, kCrashingPart});
  EXPECT_FALSE(TakeAction<local_response>(out_));
  for (uint64_t upstream = 1; upstream <= 4; ++upstream) {
    router_.quarantine().OnCrash(now_, {.high = 9, .low = 100 + upstream},
                                 upstream, now_,
                                 std::vector{kFirst, kCrashingPart});
  }
  router_.OnTick(now_, out_);
  const auto response = TakeAction<local_response>(out_);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result, outcome::kNotRun);
  EXPECT_EQ(response->quarantined_part, kCrashingPart);
}

// Guards against a crashed upstream's response that passes for a complete one.
TEST_F(crashing_request_test, UnframedResponsesClearNoPart) {
  uint64_t crashed = 0;
  for (int i = 0; i < 10; ++i) {
    SendNewRequest({kFirst, kCrashingPart});
    crashed += CrashAttempts();
    now_ += std::chrono::milliseconds(50);
    SendNewRequest({kFirst, kCrashingPart});
    if (!TakeAction<local_response>(out_)) {
      Complete(true);
    }
    now_ += std::chrono::milliseconds(50);
  }
  EXPECT_LE(crashed, 5U);
}

// Guards against crashes that look like complete responses, since these have
// neither a length nor chunks.
TEST_F(crashing_request_test, CountsUnframedEndsAtUpstreamsThatAreGone) {
  uint64_t crashed = 0;
  for (int i = 0; i < 10; ++i) {
    SendNewRequest({kFirst, kCrashingPart});
    if (const auto sent = TakeDispatch()) {
      ++crashed;
      router_.OnAttemptEnded(
          now_,
          {.attempt = *sent, .result = outcome::kAnswered, .is_unframed = true},
          out_);
    }
    out_.clear();
    now_ += std::chrono::milliseconds(50);
    // The next request to the same upstream finds no process there.
    for (int other = 0; other < 12; ++other) {
      SendNewRequest({kFirst, kOtherPart});
      if (const auto sent = TakeDispatch()) {
        router_.OnAttemptEnded(
            now_,
            {.attempt = *sent, .result = outcome::kNotRun, .unreachable = true},
            out_);
      }
      out_.clear();
    }
    now_ += std::chrono::milliseconds(50);
  }
  EXPECT_LE(crashed, 5U);
  EXPECT_GE(crashed, 1U);
}

// Guards against a part that stays quarantined although it crashes no upstream.
TEST_F(crashing_request_test, TriesAPartThatCompletedBefore) {
  SendNewRequest({kFirst});
  Complete();
  for (int i = 0; i < 5; ++i) {
    SendNewRequest({kFirst});
    EXPECT_EQ(CrashAttempts(), 1U);
    now_ += std::chrono::milliseconds(50);
  }
  out_.clear();
  SendNewRequest({kFirst});
  EXPECT_TRUE(TakeAction<local_response>(out_));
  now_ += std::chrono::seconds(5);
  SendNewRequest({kFirst});
  Complete();
  SendNewRequest({kFirst});
  EXPECT_TRUE(TakeDispatch());
}

}  // namespace
}  // namespace cuminswitch
