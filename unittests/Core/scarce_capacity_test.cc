// The router's decisions while capacity is scarce.
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Membership/member_table.h"
#include "cuminswitch/Support/hash.h"
#include "take_action.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

/// A router with one upstream.
class router_fixture {
 public:
  explicit router_fixture(bool is_scarce)
      : members_({.self = {.host = "h", .incarnation = 1}}),
        router_({.self = members_.self(), .is_capacity_scarce = is_scarce},
                members_) {
    auto config = std::make_shared<configuration>();
    config->models = {{.name = "m", .version = "1"}};
    config->upstreams = {{.name = "a", .serves = {"m"}, .max_in_flight = 200}};
    config->workspaces = {{.name = "v", .uses = {"m"}}};
    router_.OnConfiguration(now_, config, out_);
    router_.OnUpstreamReport(now_,
                             {.upstream = "a",
                              .reachable = true,
                              .incarnation = 1,
                              .models = {{.name = "m", .version = "1"}}},
                             out_);
    now_ += std::chrono::seconds(10);
  }

  /// Returns the response if the request is refused at once.
  std::optional<local_response> Send(request_id id,
                                     priority_class priority,
                                     uint32_t tokens) {
    router_.OnRequest(
        now_,
        {.request = id,
         .workspace = "v",
         .target = "m",
         .levels = {{.hash = 1, .tokens = 1}, {.hash = id, .tokens = tokens}},
         .prompt_tokens = tokens,
         .time_limit = std::chrono::seconds(5),
         .target_latency = milliseconds(500),
         .priority = priority},
        out_);
    return TakeAction<local_response>(out_);
  }
  /// Reports that \p work seconds of a peer's prompts wait, for \p wait_ratio
  /// targets.
  void ReportPeer(priority_class priority, double wait_ratio, double work) {
    router_.OnPeerAdmissions(now_, "p",
                             {.pressures = {{.target = Hash64("m"),
                                             .priority = priority,
                                             .wait_ratio = wait_ratio,
                                             .weight = work}}});
  }
  int CountRefused(priority_class priority, uint32_t tokens) {
    int refused = 0;
    for (request_id id = 1; id <= 100; ++id) {
      refused += Send(id, priority, tokens) ? 1 : 0;
    }
    return refused;
  }

  time_point now_{std::chrono::seconds(1)};
  member_table members_;
  request_router router_;
  action_list out_;
};

// Guards against changed decisions where capacity is not scarce.
TEST(scarce_capacity_test, DecidesAsBeforeWhereCapacityIsNotScarce) {
  router_fixture alone(false);
  router_fixture reported(false);
  reported.ReportPeer(priority_class::kInteractive, 10, 10);
  EXPECT_EQ(alone.CountRefused(priority_class::kStandard, 300),
            reported.CountRefused(priority_class::kStandard, 300));
  EXPECT_TRUE(reported.router_.ReportAdmissions(reported.now_).IsEmpty());
  EXPECT_EQ(reported.router_.counters().yielded, 0);
}

TEST(scarce_capacity_test, AcceptsTheSameRequestsWhileUpstreamsAreIdle) {
  router_fixture before(false);
  router_fixture now(true);
  for (request_id id = 1; id <= 8; ++id) {
    EXPECT_FALSE(before.Send(id, priority_class::kStandard, 100));
    EXPECT_FALSE(now.Send(id, priority_class::kStandard, 100));
  }
}

// Guards against long prompts that are refused at idle upstreams, as they were
// by the comparison with the target alone.
TEST(scarce_capacity_test, AcceptsLongPromptsWhileUpstreamsAreIdle) {
  EXPECT_FALSE(
      router_fixture(true).Send(1, priority_class::kInteractive, 30'000));
  EXPECT_TRUE(
      router_fixture(false).Send(1, priority_class::kInteractive, 30'000));
}

// Guards against urgent requests that are refused because of the less urgent
// ones in an engine's queue, which it runs later.
TEST(scarce_capacity_test, UrgentRequestsDoNotWaitForLessUrgentOnes) {
  router_fixture before(false);
  router_fixture now(true);
  for (router_fixture* item : {&before, &now}) {
    item->router_.OnPeerPlacements(
        item->now_,
        {.peer = "p",
         .backlogs = {{.upstream = Hash64("a"), .tokens = 40'000}}});
    item->ReportPeer(priority_class::kStandard, 2, 5);
  }
  EXPECT_TRUE(before.Send(1, priority_class::kInteractive, 300));
  EXPECT_FALSE(now.Send(1, priority_class::kInteractive, 300));
  EXPECT_TRUE(now.Send(2, priority_class::kStandard, 300));
}

// Guards against less urgent requests that are served while urgent ones of the
// same target miss theirs, at whichever daemon.
TEST(scarce_capacity_test, YieldsToUrgentRequestsOfOtherDaemons) {
  router_fixture fixture(true);
  fixture.ReportPeer(priority_class::kInteractive, 2, 1);
  const int refused = fixture.CountRefused(priority_class::kStandard, 1);
  EXPECT_GE(refused, 80);
  EXPECT_LT(refused, 100);
  EXPECT_EQ(fixture.router_.counters().yielded, refused);
  fixture.now_ += std::chrono::seconds(2);
  EXPECT_FALSE(fixture.Send(500, priority_class::kStandard, 1));
}

}  // namespace
}  // namespace cuminswitch
