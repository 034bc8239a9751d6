// Upstreams that request a backoff from this daemon, or report that they leave.
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
      ReportUpstream(name, 1);
    }
    now_ += seconds(10);
  }

  void ReportUpstream(const std::string& upstream, uint64_t started) {
    router_.OnUpstreamReport(now_,
                             {.upstream = upstream,
                              .reachable = true,
                              .incarnation = started,
                              .started = started},
                             out_);
  }
  void SendRequest(duration max_wait = seconds(2)) {
    router_.OnRequest(now_,
                      {.request = ++last_request_,
                       .workspace = "w",
                       .target = "s",
                       .time_limit = max_wait,
                       .repeats = repeat_rule::kRepeatable},
                      out_);
  }
  std::optional<dispatch_attempt> TakeDispatch() {
    return TakeAction<dispatch_attempt>(out_);
  }
  /// Lets the upstream of \p sent refuse it and request a backoff.
  void RequestBackoff(const dispatch_attempt& sent, duration backoff) {
    router_.OnBackoffRequested(now_, sent.attempt, backoff);
    router_.OnAttemptEnded(now_,
                           {.attempt = sent.attempt,
                            .result = outcome::kNotRun,
                            .refused_busy = true},
                           out_);
  }
  void RequestBackoffFromAll(duration backoff) {
    SendRequest();
    for (size_t i = 0; i < names_.size(); ++i) {
      RequestBackoff(*TakeDispatch(), backoff);
    }
    out_.clear();
  }
  /// Sends and completes requests for \p time; returns the upstreams used.
  std::set<std::string> ServeRequests(duration time) {
    std::set<std::string> used;
    for (const time_point end = now_ + time; now_ < end;
         now_ += milliseconds(20)) {
      SendRequest();
      while (const auto sent = TakeDispatch()) {
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

TEST_F(upstream_notice_test, SendsNothingDuringRequestedBackoff) {
  SendRequest();
  const auto sent = *TakeDispatch();
  RequestBackoff(sent, seconds(3));
  EXPECT_NE(TakeDispatch()->upstream, sent.upstream);
  EXPECT_FALSE(ServeRequests(milliseconds(2980)).contains(sent.upstream));
  EXPECT_TRUE(ServeRequests(seconds(3)).contains(sent.upstream));
}

TEST_F(upstream_notice_test, ShorterBackoffDoesNotEndLongerOne) {
  SendRequest();
  SendRequest();
  SendRequest();
  SendRequest();
  std::vector<dispatch_attempt> all;
  while (const auto sent = TakeDispatch()) {
    all.push_back(*sent);
  }
  std::optional<dispatch_attempt> first;
  for (const dispatch_attempt& sent : all) {
    if (!first) {
      first = sent;
      RequestBackoff(sent, seconds(3));
    } else if (sent.upstream == first->upstream) {
      RequestBackoff(sent, milliseconds(100));
    }
  }
  out_.clear();
  EXPECT_FALSE(ServeRequests(milliseconds(2900)).contains(first->upstream));
}

TEST_F(upstream_notice_test, RefusesWithRetryAfterIfAllAreInBackoff) {
  RequestBackoffFromAll(seconds(4));
  now_ += seconds(1);
  SendRequest();
  EXPECT_FALSE(TakeDispatch());
  const auto response = TakeAction<local_response>(out_);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result, outcome::kNotRun);
  EXPECT_EQ(response->status, 503U);
  EXPECT_GE(response->retry_after, seconds(3));
  EXPECT_LE(response->retry_after, milliseconds(3'760));
}

TEST_F(upstream_notice_test, QueuesRequestUntilEndOfShortBackoff) {
  ServeRequests(seconds(3));
  RequestBackoffFromAll(milliseconds(500));
  SendRequest();
  EXPECT_FALSE(TakeDispatch());
  EXPECT_FALSE(TakeAction<local_response>(out_));
  now_ += milliseconds(510);
  router_.OnTick(now_, out_);
  EXPECT_TRUE(TakeDispatch());
}

TEST_F(upstream_notice_test, EndOfRateLimitDoesNotEndBackoff) {
  SendRequest();
  const auto sent = *TakeDispatch();
  router_.OnLimit(now_, Hash64(sent.upstream), now_,
                  {.kind = notice_kind::kValid, .rate = 5});
  RequestBackoff(sent, seconds(3));
  out_.clear();
  now_ += milliseconds(10);
  router_.OnLimit(now_, Hash64(sent.upstream), now_, {});
  EXPECT_FALSE(ServeRequests(seconds(2)).contains(sent.upstream));
}

TEST_F(upstream_notice_test, PermitDoesNotOverrideBackoff) {
  SendRequest();
  const auto sent = *TakeDispatch();
  for (const std::string& name : names_) {
    router_.OnLimit(now_, Hash64(name), now_,
                    {.kind = notice_kind::kValid, .rate = 5});
  }
  SendRequest();
  auto asked = router_.TakePermitRequests();
  ASSERT_EQ(asked.size(), 1U);
  // The upstream requests a backoff while the permit is pending.
  const uint64_t upstream = asked[0].upstream;
  ASSERT_TRUE(sent.upstream.size() == 1);
  router_.OnBackoffRequested(now_, sent.attempt, seconds(3));
  router_.OnPermit(
      now_,
      {.request = asked[0].request, .upstream = upstream, .is_granted = true},
      out_);
  const auto next = TakeDispatch();
  EXPECT_TRUE(!next || next->upstream != sent.upstream);
}

TEST_F(upstream_notice_test, SendsNothingToLeavingUpstream) {
  SendRequest();
  const auto sent = *TakeDispatch();
  EXPECT_TRUE(router_.OnUpstreamLeaving(sent.attempt));
  EXPECT_FALSE(router_.OnUpstreamLeaving(sent.attempt))
      << "it was reported before";
  router_.OnAttemptEnded(
      now_, {.attempt = sent.attempt, .result = outcome::kAnswered}, out_);
  out_.clear();
  ReportUpstream(sent.upstream, 1);
  EXPECT_FALSE(ServeRequests(seconds(8)).contains(sent.upstream));
}

TEST_F(upstream_notice_test, RestartEndsBackoffAndLeaving) {
  SendRequest();
  const auto sent = *TakeDispatch();
  router_.OnUpstreamLeaving(sent.attempt);
  router_.OnBackoffRequested(now_, sent.attempt, seconds(60));
  ReportUpstream(sent.upstream, 2);
  // Notices of attempts at the earlier start do not apply to the new one.
  EXPECT_FALSE(router_.OnUpstreamLeaving(sent.attempt));
  router_.OnBackoffRequested(now_, sent.attempt, seconds(60));
  router_.OnAttemptEnded(
      now_, {.attempt = sent.attempt, .result = outcome::kAnswered}, out_);
  out_.clear();
  EXPECT_TRUE(ServeRequests(seconds(5)).contains(sent.upstream));
}

// An unresponsive upstream may still respond, while at upstreams in backoff the
// request would only wait.
TEST_F(upstream_notice_test, DoesNotMoveRequestToUpstreamInBackoff) {
  SendRequest();
  const auto unresponsive = *TakeDispatch();
  EXPECT_TRUE(router_.CanRetryElsewhere(now_, last_request_));
  std::set<std::string> in_backoff;
  while (in_backoff.size() < names_.size() - 1) {
    SendRequest();
    const auto sent = *TakeDispatch();
    if (sent.upstream != unresponsive.upstream) {
      in_backoff.insert(sent.upstream);
      RequestBackoff(sent, seconds(3));
    }
    out_.clear();
    now_ += milliseconds(60);
  }
  EXPECT_FALSE(router_.CanRetryElsewhere(now_, unresponsive.request));
}

}  // namespace
}  // namespace cuminswitch
