// Where requests go while upstreams name limits.
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

constexpr duration kPatience = std::chrono::seconds(5);

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
  void NameLimit(const std::string& upstream, double rate) {
    router_.OnLimit(now_, Hash64(upstream), now_,
                    {.kind = notice_kind::kNamed, .rate = rate});
  }
  void Arrive(request_id id) {
    router_.OnRequest(now_,
                      {.request = id,
                       .workspace = "v",
                       .target = "m",
                       .levels = {{.hash = 1, .tokens = 90}},
                       .prompt_tokens = 100,
                       .time_limit = kPatience},
                      out_);
  }
  void Answer(const permit_request& asked,
              bool is_granted,
              duration wait = {}) {
    router_.OnPermit(now_,
                     {.request = asked.request,
                      .upstream = asked.upstream,
                      .is_granted = is_granted,
                      .retry_after = wait},
                     out_);
  }
  std::optional<permit_request> TakeQuestion() {
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

TEST_F(upstream_limit_test, NothingIsAskedWithoutALimit) {
  Arrive(1);
  EXPECT_TRUE(Take<dispatch_attempt>());
  EXPECT_FALSE(TakeQuestion());
}

TEST_F(upstream_limit_test, WhatIsGrantedGoesThere) {
  NameLimit("a", 2);
  NameLimit("b", 2);
  Arrive(1);
  EXPECT_FALSE(Take<dispatch_attempt>());
  const auto asked = TakeQuestion();
  ASSERT_TRUE(asked);
  EXPECT_EQ(asked->rate, 2);
  EXPECT_FALSE(asked->waits);
  Answer(*asked, true);
  const auto sent = Take<dispatch_attempt>();
  ASSERT_TRUE(sent);
  EXPECT_EQ(Hash64(sent->upstream), asked->upstream);
}

TEST_F(upstream_limit_test, WhatIsTurnedAwayGoesElsewhereAndCostsNoRepeat) {
  Arrive(1);
  const std::string home = Take<dispatch_attempt>()->upstream;
  NameLimit(home, 1);
  Arrive(2);
  Answer(*TakeQuestion(), false, std::chrono::seconds(1));
  const auto sent = Take<dispatch_attempt>();
  ASSERT_TRUE(sent);
  EXPECT_NE(sent->upstream, home);
  EXPECT_EQ(sent->earlier_attempts, 0U);
  EXPECT_EQ(router_.counters().retries, 0U);
  // Until this daemon's turn it is not asked about again.
  Arrive(3);
  EXPECT_FALSE(TakeQuestion());
  EXPECT_NE(Take<dispatch_attempt>()->upstream, home);
}

TEST_F(upstream_limit_test, WithAllLimitedARequestWaitsForItsTurn) {
  NameLimit("a", 1);
  NameLimit("b", 1);
  Arrive(1);
  Answer(*TakeQuestion(), false, std::chrono::seconds(1));
  Answer(*TakeQuestion(), false, std::chrono::seconds(2));
  EXPECT_FALSE(Take<dispatch_attempt>());
  EXPECT_FALSE(Take<local_response>());
  now_ += std::chrono::milliseconds(990);
  router_.OnTick(now_, out_);
  EXPECT_FALSE(TakeQuestion());
  now_ += std::chrono::milliseconds(20);
  router_.OnTick(now_, out_);
  const auto asked = TakeQuestion();
  ASSERT_TRUE(asked);
  EXPECT_TRUE(asked->waits);
  Answer(*asked, true);
  EXPECT_TRUE(Take<dispatch_attempt>());
}

// What can't be served in time is refused at once, with the time at which it
// could be.
TEST_F(upstream_limit_test, WhatTheLimitsKeepWaitingTooLongIsRefusedAtOnce) {
  NameLimit("a", 0.2);
  NameLimit("b", 0.2);
  Arrive(1);
  Answer(*TakeQuestion(), false, std::chrono::seconds(7));
  Answer(*TakeQuestion(), false, std::chrono::seconds(6));
  const auto refused = Take<local_response>();
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->result, outcome::kNotRun);
  EXPECT_EQ(refused->status, 429U);
  EXPECT_NEAR(ToSeconds(refused->retry_after), 6, 0.1);
}

TEST_F(upstream_limit_test, TheEndOfALimitEndsItsWaits) {
  NameLimit("a", 1);
  NameLimit("b", 1);
  Arrive(1);
  Answer(*TakeQuestion(), false, std::chrono::seconds(4));
  Answer(*TakeQuestion(), false, std::chrono::seconds(4));
  now_ += std::chrono::milliseconds(10);
  router_.OnLimit(now_, Hash64("a"), now_, {});
  router_.OnTick(now_, out_);
  const auto sent = Take<dispatch_attempt>();
  ASSERT_TRUE(sent);
  EXPECT_EQ(sent->upstream, "a");
}

TEST_F(upstream_limit_test, APermitForWhoHasLeftIsGivenBack) {
  NameLimit("a", 1);
  NameLimit("b", 1);
  Arrive(1);
  const auto asked = TakeQuestion();
  router_.OnCallerGone(now_, {.request = 1}, out_);
  Answer(*asked, true);
  EXPECT_FALSE(Take<dispatch_attempt>());
  const auto unused = router_.TakeUnusedPermits();
  ASSERT_EQ(unused.size(), 1U);
  EXPECT_EQ(unused.front().upstream, asked->upstream);
}

TEST_F(upstream_limit_test, APermitForAnUpstreamThatLeavesIsGivenBack) {
  NameLimit("a", 1);
  NameLimit("b", 1);
  Arrive(1);
  const auto asked = TakeQuestion();
  const bool is_a = asked->upstream == Hash64("a");
  Configure({is_a ? "b" : "a"});
  Answer(*asked, true);
  EXPECT_EQ(router_.TakeUnusedPermits().size(), 1U);
  const auto other = TakeQuestion();
  ASSERT_TRUE(other);
  EXPECT_NE(other->upstream, asked->upstream);
}

}  // namespace
}  // namespace cuminswitch
