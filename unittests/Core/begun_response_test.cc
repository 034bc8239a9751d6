// Responses that have begun at their caller while their upstream is silent.
#include <gtest/gtest.h>

#include <array>
#include <chrono>
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

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array kUpstreams = {"a", "b", "c", "d", "e", "f"};
constexpr request_id kStream = 1;
constexpr duration kTimeLimit = seconds(12);
/// Length of the window of the retry budget.
constexpr duration kRetryWindow = seconds(10);

class begun_response_test : public testing::Test {
 protected:
  begun_response_test() : members_({.self = {.host = "h", .incarnation = 1}}) {
    Start({.share = 0, .burst = 1, .window = kRetryWindow});
  }

  void Start(const retry_budget::options& retries) {
    router_.emplace(request_router::options{.self = members_.self(),
                                            .retries = retries,
                                            .refuse_without_upstream = true},
                    members_);
    auto config = std::make_shared<configuration>();
    config->services = {{.name = "s", .repeatable = true}};
    for (const char* name : kUpstreams) {
      config->upstreams.push_back({.name = name,
                                   .kind = upstream_kind::kService,
                                   .software_version = "v1",
                                   .serves = {"s"},
                                   .max_in_flight = 1});
    }
    config->workspaces = {{.name = "w", .uses = {"s"}, .max_in_flight = 1000}};
    router_->OnConfiguration(now_, config, out_);
    for (const upstream_spec& item : config->upstreams) {
      SetReachable(item.name, true);
    }
    now_ += seconds(10);
  }

  void SetReachable(const std::string& upstream, bool reachable) {
    router_->OnUpstreamReport(
        now_, {.upstream = upstream, .reachable = reachable, .incarnation = 1},
        out_);
  }

  static hash128 DigestOf(request_id id) { return {.high = 1, .low = id}; }

  dispatch_attempt SendRequest(request_id id) {
    router_->OnRequest(now_,
                       {.request = id,
                        .workspace = "w",
                        .target = "s",
                        .request_digest = DigestOf(id),
                        .time_limit = kTimeLimit,
                        .repeats = repeat_rule::kRepeatable,
                        .max_runs = 2},
                       out_);
    return Take<dispatch_attempt>().value();
  }
  /// Sends a request and returns its attempt, whose response has begun.
  dispatch_attempt BeginStream() {
    dispatch_attempt first = SendRequest(kStream);
    router_->OnFirstByte(
        now_, {.attempt = first.attempt, .has_reached_caller = true});
    return first;
  }
  /// Ends an attempt because its upstream was silent for too long.
  void EndStalled(attempt_id attempt) {
    router_->OnAttemptEnded(
        now_, {.attempt = attempt, .result = outcome::kUnknown}, out_);
  }
  void EndRefused(attempt_id attempt) {
    router_->OnAttemptEnded(
        now_,
        {.attempt = attempt, .result = outcome::kNotRun, .refused_busy = true},
        out_);
  }
  /// Lets time pass with the ticks of the event loop.
  void Pass(duration time) {
    const time_point end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(50);
      router_->OnTick(now_, out_);
    }
  }
  template <class Action>
  std::optional<Action> Take() {
    return TakeAction<Action>(out_);
  }

  time_point now_{seconds(100)};
  action_list out_;
  member_table members_;
  std::optional<request_router> router_;
};

// Guards against a begun response that is ended since its retry was refused and
// the budget has no second one.
TEST_F(begun_response_test, WaitsForRetryBudget) {
  const dispatch_attempt first = BeginStream();
  EndStalled(first.attempt);
  EndRefused(Take<dispatch_attempt>().value().attempt);
  Pass(seconds(9));
  EXPECT_FALSE(Take<local_response>());
  EXPECT_FALSE(Take<dispatch_attempt>());
  Pass(seconds(2));
  EXPECT_TRUE(Take<dispatch_attempt>());
}

// Guards against a begun response that is ended since several upstreams refused
// to go on with it.
TEST_F(begun_response_test, OutlastsRefusals) {
  constexpr int kRetries = 20;
  Start({.share = 0, .burst = kRetries, .window = kRetryWindow});
  EndStalled(BeginStream().attempt);
  const time_point end = now_ + seconds(4);
  int refused = 0;
  while (now_ < end) {
    while (const auto next = Take<dispatch_attempt>()) {
      EndRefused(next->attempt);
      ++refused;
    }
    Pass(milliseconds(50));
  }
  EXPECT_FALSE(Take<local_response>());
  EXPECT_GT(refused, 4);
  EXPECT_LT(refused, 8) << "they use up the budget of other requests";
}

// Guards against a begun response that is ended since no upstream is available
// for a moment.
TEST_F(begun_response_test, WaitsForUpstream) {
  Start({.share = 0, .burst = 4, .window = kRetryWindow});
  EndStalled(BeginStream().attempt);
  const dispatch_attempt second = Take<dispatch_attempt>().value();
  for (const char* name : kUpstreams) {
    SetReachable(name, false);
  }
  EndRefused(second.attempt);
  Pass(seconds(1));
  EXPECT_FALSE(Take<local_response>());
  SetReachable("c", true);
  Pass(seconds(1));
  EXPECT_EQ(Take<dispatch_attempt>().value().upstream, "c");
}

// Guards against a begun response that waits in the queue of full upstreams
// while the one that it left is free.
TEST_F(begun_response_test, ReturnsToFreeUpstream) {
  Start({.share = 0, .burst = 9, .window = kRetryWindow});
  const dispatch_attempt first = BeginStream();
  EndStalled(first.attempt);
  const dispatch_attempt second = Take<dispatch_attempt>().value();
  for (request_id id = kStream + 1; id < kStream + kUpstreams.size() - 1;
       ++id) {
    SendRequest(id);
  }
  EndRefused(second.attempt);
  Pass(seconds(4));
  EXPECT_TRUE(Take<dispatch_attempt>());
}

// Guards against a response being held of which the caller has got nothing.
TEST_F(begun_response_test, RefusesRequestWhoseCallerHasGotNothing) {
  const dispatch_attempt first = SendRequest(kStream);
  router_->OnFirstByte(now_, {.attempt = first.attempt});
  EndStalled(first.attempt);
  EndRefused(Take<dispatch_attempt>().value().attempt);
  EXPECT_TRUE(Take<local_response>());
}

TEST_F(begun_response_test, EndsWithoutUpstreamOfItsVersion) {
  Start({.share = 0, .burst = 4, .window = kRetryWindow});
  EndStalled(BeginStream().attempt);
  const dispatch_attempt second = Take<dispatch_attempt>().value();
  std::vector<upstream_update> updates;
  updates.reserve(kUpstreams.size());
  for (const char* name : kUpstreams) {
    updates.push_back({.spec = {.name = name}, .is_removed = true});
  }
  router_->OnUpstreams(now_, updates, out_);
  EndRefused(second.attempt);
  EXPECT_TRUE(Take<local_response>());
}

// Guards against a request that has not begun being held instead of refused.
TEST_F(begun_response_test, RefusesRequestThatHasNotBegun) {
  EndStalled(SendRequest(kStream).attempt);
  EndRefused(Take<dispatch_attempt>().value().attempt);
  EXPECT_TRUE(Take<local_response>());
}

TEST_F(begun_response_test, ForgetsResponseWhoseCallerLeft) {
  EndStalled(BeginStream().attempt);
  EndRefused(Take<dispatch_attempt>().value().attempt);
  router_->OnCallerDisconnected(now_, {.request = kStream}, out_);
  Pass(kRetryWindow + seconds(1));
  EXPECT_FALSE(Take<dispatch_attempt>());
  EXPECT_TRUE(router_->IsIdle());
}

// Guards against leaving a silent upstream for ones that cannot go on with the
// response.
TEST_F(begun_response_test, StaysAtSilentUpstreamIfOthersAreFull) {
  Start({.share = 0, .burst = 9, .window = kRetryWindow});
  BeginStream();
  EXPECT_TRUE(router_->CanRetryElsewhere(now_, kStream));
  for (request_id id = kStream + 1; id < kStream + kUpstreams.size(); ++id) {
    SendRequest(id);
  }
  EXPECT_FALSE(router_->CanRetryElsewhere(now_, kStream));
}

TEST_F(begun_response_test, StaysAtSilentUpstreamIfOthersAreEjected) {
  Start({.share = 0, .burst = 9, .window = kRetryWindow});
  BeginStream();
  for (request_id id = kStream + 1; id < kStream + kUpstreams.size(); ++id) {
    router_->OnAttemptEnded(now_,
                            {.attempt = SendRequest(id).attempt,
                             .result = outcome::kUnknown,
                             .connection_lost = true,
                             .response_started = true},
                            out_);
  }
  EXPECT_FALSE(router_->CanRetryElsewhere(now_, kStream));
}

TEST_F(begun_response_test, StaysAtSilentUpstreamIfLastRetryMayBeRefused) {
  Start({.share = 0, .burst = 2, .window = kRetryWindow});
  BeginStream();
  EXPECT_FALSE(router_->CanRetryElsewhere(now_, kStream));
}

// Guards against a request that is left and then refused, since as many
// upstreams as may refuse it have done so.
TEST_F(begun_response_test, StaysAtSilentUpstreamAfterRefusals) {
  Start({.share = 0, .burst = 9, .window = kRetryWindow});
  EndRefused(SendRequest(kStream).attempt);
  EndRefused(Take<dispatch_attempt>().value().attempt);
  EndRefused(Take<dispatch_attempt>().value().attempt);
  EXPECT_TRUE(Take<dispatch_attempt>());
  EXPECT_FALSE(router_->ReserveRetry(now_, kStream));
}

// Guards against leaving an upstream in the moment in which its own response
// to the end of the time limit arrives.
TEST_F(begun_response_test, StaysAtSilentUpstreamAtDeadline) {
  SendRequest(kStream);
  now_ += kTimeLimit;
  EXPECT_FALSE(router_->ReserveRetry(now_, kStream));
}

// Guards against two requests that leave their upstreams for the same retry.
TEST_F(begun_response_test, ReservesRetry) {
  const dispatch_attempt first = SendRequest(kStream);
  SendRequest(kStream + 1);
  EXPECT_TRUE(router_->ReserveRetry(now_, kStream));
  EXPECT_FALSE(router_->ReserveRetry(now_, kStream + 1));
  EndStalled(first.attempt);
  EXPECT_EQ(Take<dispatch_attempt>().value().request, kStream);
}

// Guards against a request that is left and then waits for a full upstream,
// which is expected to be faster than the free one.
TEST_F(begun_response_test, MovesToFreeUpstream) {
  Start({.share = 0, .burst = 9, .window = kRetryWindow});
  const dispatch_attempt slow = SendRequest(kStream);
  now_ += seconds(8);
  router_->OnFirstByte(now_, {.attempt = slow.attempt});
  router_->OnAttemptEnded(
      now_, {.attempt = slow.attempt, .result = outcome::kAnswered}, out_);
  const dispatch_attempt silent = SendRequest(kStream + 1);
  for (size_t i = 2; i < kUpstreams.size(); ++i) {
    SendRequest(kStream + i);
  }
  ASSERT_TRUE(router_->ReserveRetry(now_, silent.request));
  EndStalled(silent.attempt);
  EXPECT_EQ(Take<dispatch_attempt>().value().upstream, slow.upstream);
}

// Guards against a request that leaves its upstream and then is refused the
// permit for another one.
TEST_F(begun_response_test, StaysAtSilentUpstreamIfOthersHaveRateLimits) {
  Start({.share = 0, .burst = 9, .window = kRetryWindow});
  const dispatch_attempt silent = BeginStream();
  EXPECT_TRUE(router_->CanRetryElsewhere(now_, kStream));
  for (const char* name : kUpstreams) {
    if (name != silent.upstream) {
      router_->OnLimit(now_, Hash64(name), now_,
                       {.kind = notice_kind::kValid, .rate = 10});
    }
  }
  EXPECT_FALSE(router_->ReserveRetry(now_, kStream));
}

TEST_F(begun_response_test, StaysAtSilentUpstreamIfQuarantined) {
  Start({.share = 0, .burst = 9, .window = kRetryWindow});
  BeginStream();
  // The caller's earlier attempts of the same request crashed their upstreams.
  for (uint64_t upstream = 1; upstream <= 6; ++upstream) {
    router_->quarantine().OnCrash(now_, DigestOf(kStream), upstream, now_, {});
  }
  EXPECT_FALSE(router_->CanRetryElsewhere(now_, kStream));
}

}  // namespace
}  // namespace cuminswitch
