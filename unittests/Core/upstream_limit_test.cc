// Placement of requests while upstreams advertise rate limits.
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Membership/member_table.h"
#include "cuminswitch/Support/hash.h"
#include "take_action.h"

namespace cuminswitch {
namespace {

constexpr duration kMaxWait = std::chrono::seconds(5);

class upstream_limit_test : public testing::Test {
 protected:
  upstream_limit_test()
      : members_({.self = {.host = "h", .incarnation = 1}}),
        router_({.self = members_.self(),
                 .replicas = {},
                 .refuse_without_upstream = true},
                members_) {
    Configure({"a", "b"});
    now_ += std::chrono::seconds(10);
  }

  void Configure(const std::vector<std::string>& upstreams) {
    auto config = std::make_shared<configuration>();
    config->models = {{.name = "m", .version = "1"}};
    for (const std::string& name : upstreams) {
      config->upstreams.push_back(
          {.name = name, .serves = {"m"}, .max_in_flight = 64});
    }
    config->workspaces = {{.name = "v", .uses = {"m"}}};
    router_.OnConfiguration(now_, config, out_);
    for (const std::string& name : upstreams) {
      router_.OnUpstreamReport(now_,
                               {.upstream = name,
                                .reachable = true,
                                .incarnation = 1,
                                .models = {{.name = "m", .version = "1"}}},
                               out_);
    }
  }
  void AdvertiseLimit(const std::string& upstream, double rate) {
    router_.OnLimit(now_, Hash64(upstream), now_,
                    {.kind = notice_kind::kValid, .rate = rate});
  }
  void SendRequest(request_id id) {
    router_.OnRequest(now_,
                      {.request = id,
                       .workspace = "v",
                       .target = "m",
                       .levels = {{.hash = 1, .tokens = 90}},
                       .prompt_tokens = 100,
                       .time_limit = kMaxWait},
                      out_);
  }
  void ReplyToPermit(const permit_request& asked,
                     bool is_granted,
                     duration wait = {}) {
    router_.OnPermit(now_,
                     {.request = asked.request,
                      .upstream = asked.upstream,
                      .is_granted = is_granted,
                      .retry_after = wait},
                     out_);
  }
  std::optional<permit_request> TakePermitRequest() {
    const auto list = router_.TakePermitRequests();
    return list.empty() ? std::nullopt : std::optional(list.front());
  }
  template <class Action>
  std::optional<Action> Take() {
    return TakeAction<Action>(out_);
  }

  time_point now_{std::chrono::seconds(1)};
  member_table members_;
  request_router router_;
  action_list out_;
};

TEST_F(upstream_limit_test, RequestsNoPermitWithoutRateLimit) {
  SendRequest(1);
  EXPECT_TRUE(Take<dispatch_attempt>());
  EXPECT_FALSE(TakePermitRequest());
}

TEST_F(upstream_limit_test, SendsAfterPermitIsGranted) {
  AdvertiseLimit("a", 2);
  AdvertiseLimit("b", 2);
  SendRequest(1);
  EXPECT_FALSE(Take<dispatch_attempt>());
  const auto asked = TakePermitRequest();
  ASSERT_TRUE(asked);
  EXPECT_EQ(asked->rate, 2);
  EXPECT_FALSE(asked->waits);
  ReplyToPermit(*asked, true);
  const auto sent = Take<dispatch_attempt>();
  ASSERT_TRUE(sent);
  EXPECT_EQ(Hash64(sent->upstream), asked->upstream);
}

TEST_F(upstream_limit_test, DeniedPermitMovesRequestWithoutRetry) {
  SendRequest(1);
  const std::string preferred = Take<dispatch_attempt>()->upstream;
  AdvertiseLimit(preferred, 1);
  SendRequest(2);
  ReplyToPermit(*TakePermitRequest(), false, std::chrono::seconds(1));
  const auto sent = Take<dispatch_attempt>();
  ASSERT_TRUE(sent);
  EXPECT_NE(sent->upstream, preferred);
  EXPECT_EQ(sent->earlier_attempts, 0U);
  EXPECT_EQ(router_.counters().retries, 0U);
  // No permit is requested for it again before this daemon's send slot.
  SendRequest(3);
  EXPECT_FALSE(TakePermitRequest());
  EXPECT_NE(Take<dispatch_attempt>()->upstream, preferred);
}

TEST_F(upstream_limit_test, WaitsForSendSlotIfAllAreLimited) {
  AdvertiseLimit("a", 1);
  AdvertiseLimit("b", 1);
  SendRequest(1);
  ReplyToPermit(*TakePermitRequest(), false, std::chrono::seconds(1));
  ReplyToPermit(*TakePermitRequest(), false, std::chrono::seconds(2));
  EXPECT_FALSE(Take<dispatch_attempt>());
  EXPECT_FALSE(Take<local_response>());
  now_ += std::chrono::milliseconds(990);
  router_.OnTick(now_, out_);
  EXPECT_FALSE(TakePermitRequest());
  now_ += std::chrono::milliseconds(20);
  router_.OnTick(now_, out_);
  const auto asked = TakePermitRequest();
  ASSERT_TRUE(asked);
  EXPECT_TRUE(asked->waits);
  ReplyToPermit(*asked, true);
  EXPECT_TRUE(Take<dispatch_attempt>());
}

// The refusal carries the time until the earliest send slot.
TEST_F(upstream_limit_test, RefusesAtOnceIfSendSlotIsAfterDeadline) {
  AdvertiseLimit("a", 0.2);
  AdvertiseLimit("b", 0.2);
  SendRequest(1);
  ReplyToPermit(*TakePermitRequest(), false, std::chrono::seconds(7));
  ReplyToPermit(*TakePermitRequest(), false, std::chrono::seconds(6));
  const auto refused = Take<local_response>();
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->result, outcome::kNotRun);
  EXPECT_EQ(refused->status, 429U);
  EXPECT_NEAR(ToSeconds(refused->retry_after), 6, 0.1);
}

TEST_F(upstream_limit_test, EndOfRateLimitEndsWaits) {
  AdvertiseLimit("a", 1);
  AdvertiseLimit("b", 1);
  SendRequest(1);
  ReplyToPermit(*TakePermitRequest(), false, std::chrono::seconds(4));
  ReplyToPermit(*TakePermitRequest(), false, std::chrono::seconds(4));
  now_ += std::chrono::milliseconds(10);
  router_.OnLimit(now_, Hash64("a"), now_, {});
  router_.OnTick(now_, out_);
  const auto sent = Take<dispatch_attempt>();
  ASSERT_TRUE(sent);
  EXPECT_EQ(sent->upstream, "a");
}

TEST_F(upstream_limit_test, ReleasesPermitAfterCallerDisconnects) {
  AdvertiseLimit("a", 1);
  AdvertiseLimit("b", 1);
  SendRequest(1);
  const auto asked = TakePermitRequest();
  router_.OnCallerDisconnected(now_, {.request = 1}, out_);
  ReplyToPermit(*asked, true);
  EXPECT_FALSE(Take<dispatch_attempt>());
  const auto unused = router_.TakeUnusedPermits();
  ASSERT_EQ(unused.size(), 1U);
  EXPECT_EQ(unused.front().upstream, asked->upstream);
}

TEST_F(upstream_limit_test, ReleasesPermitForRemovedUpstream) {
  AdvertiseLimit("a", 1);
  AdvertiseLimit("b", 1);
  SendRequest(1);
  const auto asked = TakePermitRequest();
  const bool is_a = asked->upstream == Hash64("a");
  Configure({is_a ? "b" : "a"});
  ReplyToPermit(*asked, true);
  EXPECT_EQ(router_.TakeUnusedPermits().size(), 1U);
  const auto other = TakePermitRequest();
  ASSERT_TRUE(other);
  EXPECT_NE(other->upstream, asked->upstream);
}

}  // namespace
}  // namespace cuminswitch
