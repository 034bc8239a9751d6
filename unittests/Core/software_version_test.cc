// Requests that resume a stream stay at one software version.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Membership/member_table.h"
#include "take_action.h"

namespace cuminswitch {
namespace {

class software_version_test : public testing::Test {
 protected:
  software_version_test()
      : members_({.self = {.host = "h", .incarnation = 1}}),
        router_({.self = members_.self(), .refuse_without_upstream = true},
                members_) {
    auto config = std::make_shared<configuration>();
    config->services = {{.name = "s", .repeatable = true}};
    config->upstreams = {Upstream("old1", "v1"), Upstream("old2", "v1"),
                         Upstream("new1", "v2"), Upstream("new2", "v2")};
    config->workspaces = {{.name = "w", .uses = {"s"}, .max_in_flight = 1000}};
    router_.OnConfiguration(now_, config, out_);
    for (const upstream_spec& item : config->upstreams) {
      router_.OnUpstreamReport(
          now_, {.upstream = item.name, .reachable = true, .incarnation = 1},
          out_);
    }
    now_ += std::chrono::seconds(10);
  }

  static upstream_spec Upstream(const std::string& name,
                                const std::string& version) {
    return {.name = name,
            .kind = upstream_kind::kService,
            .software_version = version,
            .serves = {"s"},
            .max_in_flight = 2};
  }

  void SendRequest(request_id id, software_tag software = kAnySoftware) {
    router_.OnRequest(now_,
                      {.request = id,
                       .workspace = "w",
                       .target = "s",
                       .time_limit = std::chrono::seconds(5),
                       .repeats = repeat_rule::kRepeatable,
                       .software = software},
                      out_);
  }
  void Remove(const std::string& name) {
    const std::vector<upstream_update> updates = {
        {.spec = {.name = name}, .is_removed = true}};
    router_.OnUpstreams(now_, updates, out_);
  }
  void EndBroken(attempt_id attempt, bool unreachable = false) {
    router_.OnAttemptEnded(
        now_,
        {.attempt = attempt,
         .result = unreachable ? outcome::kNotRun : outcome::kUnknown,
         .unreachable = unreachable},
        out_);
  }
  template <class Action>
  std::optional<Action> Take() {
    return TakeAction<Action>(out_);
  }

  time_point now_{std::chrono::seconds(100)};
  action_list out_;
  member_table members_;
  request_router router_;
  const software_tag old_ = SoftwareTag("s", "v1");
};

// Guards against a resumed stream that goes on at another version, also where
// that has free slots and its own has none.
TEST_F(software_version_test, ResumedStreamIsPlacedAtItsVersionOnly) {
  std::vector<attempt_id> placed;
  for (request_id id = 1; id <= 10; ++id) {
    SendRequest(id, old_);
    while (const auto dispatch = Take<dispatch_attempt>()) {
      EXPECT_TRUE(dispatch->upstream.starts_with("old"));
      EXPECT_EQ(dispatch->software_version, "v1");
      placed.push_back(dispatch->attempt);
    }
  }
  // The others wait for a free slot of their version.
  EXPECT_LT(placed.size(), 10U);
  for (size_t i = 0; i < placed.size(); ++i) {
    router_.OnAttemptEnded(
        now_, {.attempt = placed[i], .result = outcome::kAnswered}, out_);
    while (const auto dispatch = Take<dispatch_attempt>()) {
      EXPECT_TRUE(dispatch->upstream.starts_with("old"));
      placed.push_back(dispatch->attempt);
    }
  }
  EXPECT_EQ(placed.size(), 10U);
}

// Guards against new requests that wait behind resumed streams for upstreams
// that these do not use.
TEST_F(software_version_test, WaitingStreamsHoldUpNoOtherRequests) {
  for (request_id id = 1; id <= 10; ++id) {
    SendRequest(id, old_);
  }
  out_.clear();
  SendRequest(11);
  const auto dispatch = Take<dispatch_attempt>();
  ASSERT_TRUE(dispatch);
  EXPECT_EQ(dispatch->request, 11U);
}

// Guards against a daemon's own retry at another version in one response.
TEST_F(software_version_test, BegunStreamIsRetriedAtItsVersionOnly) {
  SendRequest(1);
  auto dispatch = Take<dispatch_attempt>();
  ASSERT_TRUE(dispatch);
  const std::string version = dispatch->software_version;
  for (int i = 0; i < 3; ++i) {
    router_.OnFirstByte(now_, {.attempt = dispatch->attempt});
    EndBroken(dispatch->attempt);
    dispatch = Take<dispatch_attempt>();
    if (!dispatch) {
      break;
    }
    EXPECT_EQ(dispatch->software_version, version);
  }
}

TEST_F(software_version_test, RetryBeforeTheFirstEventMayChangeTheVersion) {
  Remove("old2");
  Remove("new2");
  SendRequest(1);
  const auto first = Take<dispatch_attempt>();
  ASSERT_TRUE(first);
  EndBroken(first->attempt);
  const auto second = Take<dispatch_attempt>();
  ASSERT_TRUE(second);
  EXPECT_NE(second->software_version, first->software_version);
}

// Guards against a stream that waits until its deadline, or spends retries,
// although its version has gone.
TEST_F(software_version_test, RefusesAtOnceAStreamWhoseVersionHasGone) {
  Remove("old1");
  Remove("old2");
  SendRequest(1, old_);
  EXPECT_FALSE(Take<dispatch_attempt>());
  const auto refusal = Take<local_response>();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->status, 503U);
  EXPECT_EQ(refusal->result, outcome::kNotRun);
  EXPECT_GT(refusal->retry_after, duration(0));
  core_status status;
  router_.FillStatus(status);
  EXPECT_EQ(status.counters.version_gone, 1U);
  EXPECT_EQ(status.counters.retries, 0U);
}

// Guards against attempts in a tight loop at upstreams that have ended but are
// still listed.
TEST_F(software_version_test, DoesNotReturnToAnUnreachableUpstream) {
  SendRequest(1, old_);
  int attempts = 0;
  while (const auto dispatch = Take<dispatch_attempt>()) {
    ASSERT_LE(++attempts, 2);
    EndBroken(dispatch->attempt, true);
  }
  EXPECT_EQ(attempts, 2);
  EXPECT_TRUE(Take<local_response>());
}

}  // namespace
}  // namespace cuminswitch
