// Calls to upstreams that respond correctly, incorrectly, or not at all.
#include "cuminswitch/Http1/upstream_pool.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "loopback.h"

namespace cuminswitch {
namespace {

class recording_handler : public upstream_handler {
 public:
  response_owner OwnerOf(const message_head& value) const override {
    const std::string_view owner = value.Find("X-Owner");
    return owner == "other"      ? response_owner::kOtherCall
           : owner == "unstated" ? response_owner::kUnstated
                                 : response_owner::kThisCall;
  }
  void OnOtherResponse(const message_head& /*value*/) override { ++skipped; }
  void OnResponseHead(const message_head& value) override { head = value; }
  void OnResponseBody(std::string_view data) override { body += data; }
  void OnCallEnd(upstream_call_result value) override { end = value; }
  int skipped = 0;
  std::optional<message_head> head;
  std::string body;
  std::optional<upstream_call_result> end;
};

class upstream_pool_test : public testing::Test {
 protected:
  upstream_pool_test()
      : base_(event_base_new()), pool_(base_), address_(listener_.Address()) {
    // Like the daemons.
    signal(SIGPIPE, SIG_IGN);
  }

  void Begin(std::chrono::milliseconds max_idle = std::chrono::seconds(9)) {
    handler_ = {};
    call_ = pool_.Start({.to = address_,
                         .method = "POST",
                         .target = "/a",
                         .headers = {{.name = "Host", .value = "h"}},
                         .body = "xy",
                         .max_idle = max_idle},
                        handler_);
  }
  /// Begins a call whose request fills the window of an upstream that does not
  /// read it.
  void BeginLarge() {
    large_body_ = std::string(16 << 20, 'x') + "xy";
    call_ = pool_.Start({.to = address_,
                         .method = "POST",
                         .target = "/a",
                         .headers = {{.name = "Host", .value = "h"}},
                         .body = large_body_},
                        handler_);
  }
  /// Waits until nothing more has arrived for a while.
  bool AwaitFullWindow() {
    constexpr int kQuietRounds = 100;
    size_t arrived = 0;
    int quiet = 0;
    return RunUntil(base_, [&] {
      const size_t now = upstream_->Available();
      quiet = now > 0 && now == arrived ? quiet + 1 : 0;
      arrived = now;
      return quiet == kQuietRounds;
    });
  }
  /// Accepts the connection that the call opens, and receives its request.
  void Accept() {
    upstream_ = listener_.Accept(base_);
    ASSERT_NE(upstream_, nullptr);
    AwaitRequest();
  }
  void AwaitRequest() {
    upstream_->received.clear();
    ASSERT_TRUE(RunUntil(base_, [&] {
      upstream_->Poll();
      return upstream_->received.ends_with("xy");
    }));
  }
  std::optional<upstream_call_result> AwaitEnd() {
    RunUntil(base_, [&] { return handler_.end.has_value(); });
    return handler_.end;
  }

  event_base* base_;
  upstream_pool pool_;
  raw_listener listener_;
  endpoint address_;
  std::unique_ptr<raw_socket> upstream_;
  std::string large_body_;
  recording_handler handler_;
  std::unique_ptr<upstream_call> call_;
};

constexpr char kResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok";

TEST_F(upstream_pool_test, ReusesConnectionThatAnnouncesKeepAlive) {
  Begin();
  Accept();
  upstream_->Send(kResponse);
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
  EXPECT_EQ(handler_.body, "ok");
  Begin();
  EXPECT_TRUE(call_->IsOnReusedConnection());
  AwaitRequest();
  upstream_->Send(kResponse);
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
  EXPECT_EQ(pool_.opened_count(), 1U);
}

// A stopped process's host still acknowledges, with a full window. Guards
// against taking that silence for the end of the upstream.
TEST_F(upstream_pool_test, WaitsForUpstreamThatStopsReadingLargeRequest) {
  // Each waits for a millisecond or more.
  constexpr int kStoppedRounds = 1'500;
  BeginLarge();
  upstream_ = listener_.Accept(base_);
  ASSERT_NE(upstream_, nullptr);
  int rounds = 0;
  RunUntil(base_, [&] {
    return handler_.end.has_value() || ++rounds == kStoppedRounds;
  });
  ASSERT_EQ(handler_.end, std::nullopt);
  AwaitRequest();
  upstream_->Send(kResponse);
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
}

// The same if this process is not scheduled for a while after it began to send.
TEST_F(upstream_pool_test, WaitsForStoppedUpstreamAfterOwnStall) {
  constexpr int kRoundsUntilFull = 20;
  constexpr std::chrono::milliseconds kStall(2'500);
  BeginLarge();
  upstream_ = listener_.Accept(base_);
  ASSERT_NE(upstream_, nullptr);
  int rounds = 0;
  RunUntil(base_, [&] { return ++rounds == kRoundsUntilFull; });
  std::this_thread::sleep_for(kStall);
  RunUntil(base_, [&] { return ++rounds == 4 * kRoundsUntilFull; });
  EXPECT_EQ(handler_.end, std::nullopt) << ToString(call_->EndCause());
}

// Guards against waiting for a host that lost power until the deadline.
TEST_F(upstream_pool_test, EndsCallToHostThatAcknowledgesNothing) {
  Begin();
  Accept();
  upstream_->Send(kResponse);
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
  upstream_->DropPackets();
  Begin();
  EXPECT_TRUE(call_->IsOnReusedConnection());
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kBroken);
  EXPECT_EQ(call_->EndCause(), call_end_cause::kUserTimeout);
}

// The same for a host that loses power while its window is full.
TEST_F(upstream_pool_test, EndsCallToHostThatStopsAcknowledgingProbes) {
  BeginLarge();
  upstream_ = listener_.Accept(base_);
  ASSERT_NE(upstream_, nullptr);
  ASSERT_TRUE(AwaitFullWindow());
  upstream_->DropPackets();
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kBroken);
  EXPECT_EQ(call_->EndCause(), call_end_cause::kUserTimeout);
}

// The same for a host whose window is full and which accepts no connection;
// where the kernel's report can't be trusted, only the latter shows it.
TEST_F(upstream_pool_test, EndsLargeCallToHostThatAcceptsNoConnection) {
  BeginLarge();
  upstream_ = listener_.Accept(base_);
  ASSERT_NE(upstream_, nullptr);
  ASSERT_TRUE(AwaitFullWindow());
  // The open connection still acknowledges, so that the kernel sees no loss.
  listener_.DropPackets();
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kBroken);
  EXPECT_EQ(call_->EndCause(), call_end_cause::kHostLost);
}

// Guards against filling the accept queue of a stopped process with a probe a
// call.
TEST_F(upstream_pool_test, StoppedUpstreamGetsOneProbeForAllCalls) {
  constexpr int kCalls = 5;
  constexpr int kStoppedRounds = 600;
  constexpr std::chrono::milliseconds kProbeInterval(700);
  const auto begun = std::chrono::steady_clock::now();
  std::vector<std::unique_ptr<upstream_call>> calls;
  std::vector<std::unique_ptr<raw_socket>> accepted;
  for (int i = 0; i < kCalls; ++i) {
    BeginLarge();
    calls.push_back(std::move(call_));
    accepted.push_back(listener_.Accept(base_));
    ASSERT_NE(accepted.back(), nullptr);
  }
  int rounds = 0;
  RunUntil(base_, [&] { return ++rounds == kStoppedRounds; });
  for (const auto& call : calls) {
    EXPECT_EQ(ToString(call->EndCause()), ToString(call_end_cause::kFraming))
        << "ended in round " << rounds;
  }
  EXPECT_EQ(handler_.end, std::nullopt);
  const int probes = listener_.CountWaiting();
  EXPECT_GE(probes, 1);
  EXPECT_LE(probes,
            1 + (std::chrono::steady_clock::now() - begun) / kProbeInterval);
}

// A retry after a failure sets `max_idle` to zero, so that it opens a new
// connection.
TEST_F(upstream_pool_test, DoesNotReuseConnectionIdleForMaxIdle) {
  Begin();
  Accept();
  upstream_->Send(kResponse);
  AwaitEnd();
  Begin(std::chrono::milliseconds(0));
  EXPECT_FALSE(call_->IsOnReusedConnection());
}

TEST_F(upstream_pool_test, EnforcesIdleLimit) {
  pool_.SetIdleLimit([](const endpoint& /*to*/) { return 0; });
  pool_.TrimIdle();
  Begin();
  Accept();
  upstream_->Send(kResponse);
  AwaitEnd();
  Begin();
  EXPECT_FALSE(call_->IsOnReusedConnection());
}

TEST_F(upstream_pool_test, LoweringTheLimitClosesIdleConnections) {
  Begin();
  Accept();
  upstream_->Send(kResponse);
  AwaitEnd();
  pool_.SetIdleLimit([](const endpoint& /*to*/) { return 0; });
  pool_.TrimIdle();
  EXPECT_TRUE(RunUntil(base_, [&] {
    upstream_->Poll();
    return upstream_->ended;
  }));
}

// Unsolicited bytes must not be left for the next request, or a caller gets
// another request's response: a faulty upstream sends a second response after
// the first, and the next request is sent on the same connection.
TEST_F(upstream_pool_test, DoesNotReuseConnectionWithExtraBytes) {
  Begin();
  Accept();
  upstream_->Send(std::string(kResponse) + kResponse);
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
  EXPECT_EQ(handler_.body, "ok");
  Begin();
  EXPECT_FALSE(call_->IsOnReusedConnection());
}

TEST_F(upstream_pool_test, UnsolicitedBytesCloseIdleConnection) {
  Begin();
  Accept();
  upstream_->Send(kResponse);
  AwaitEnd();
  upstream_->Send(kResponse);
  ASSERT_TRUE(RunUntil(base_, [&] {
    upstream_->Poll();
    return upstream_->ended;
  }));
  Begin();
  EXPECT_FALSE(call_->IsOnReusedConnection());
}

// Guards against a late copy of an earlier response that ends a call: the call
// after it would get this call's response.
TEST_F(upstream_pool_test, SkipsResponseToAnotherCall) {
  Begin();
  Accept();
  upstream_->Send(
      "HTTP/1.1 503 Full\r\nX-Owner: other\r\nContent-Length: 4\r\n\r\nlate");
  ASSERT_TRUE(RunUntil(base_, [&] { return handler_.skipped == 1; }));
  upstream_->Send(kResponse);
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
  EXPECT_EQ(handler_.head->status, 200U);
  EXPECT_EQ(handler_.body, "ok");
  Begin();
  EXPECT_TRUE(call_->IsOnReusedConnection());
  AwaitRequest();
  upstream_->Send("HTTP/1.1 200 OK\r\nX-Owner: other\r\n\r\nlate");
  upstream_->Close();
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kBroken);
  EXPECT_EQ(handler_.body, "");
}

// Guards against a response that does not state its call, whose late copy could
// end the next call on the connection.
TEST_F(upstream_pool_test, DoesNotReuseConnectionAfterUnstatedOwner) {
  Begin();
  Accept();
  upstream_->Send(
      "HTTP/1.1 503 Full\r\nX-Owner: unstated\r\nContent-Length: 0\r\n"
      "Keep-Alive: timeout=5\r\n\r\n");
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
  Begin();
  EXPECT_FALSE(call_->IsOnReusedConnection());
}

// Only an orderly close ends a response without a length. If a reset counted as
// its end too, a caller would get a truncated response as a complete one.
TEST_F(upstream_pool_test, ResetDoesNotCompleteResponseWithoutLength) {
  Begin();
  Accept();
  upstream_->Send("HTTP/1.1 200 OK\r\n\r\nabc");
  RunUntil(base_, [&] { return handler_.body == "abc"; });
  upstream_->Reset();
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kBroken);
  Begin();
  Accept();
  upstream_->Send("HTTP/1.1 200 OK\r\n\r\nabc");
  upstream_->Close();
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
}

// Guards against a part of a response that a caller gets as the whole: its
// upstream closes its side before it has taken the request, and then resets the
// connection.
TEST_F(upstream_pool_test, ResetAfterOrderlyEndDoesNotCompleteResponse) {
  BeginLarge();
  upstream_ = listener_.Accept(base_);
  ASSERT_TRUE(AwaitFullWindow());
  upstream_->Send("HTTP/1.1 200 OK\r\n\r\nabc");
  upstream_->CloseSending();
  ASSERT_TRUE(RunUntil(base_, [&] { return handler_.body == "abc"; }));
  EXPECT_FALSE(handler_.end);
  upstream_->Reset();
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kBroken);
}

// An upstream may respond before it has read the request, and read on.
TEST_F(upstream_pool_test, OrderlyEndCompletesResponseOnceRequestIsTaken) {
  BeginLarge();
  upstream_ = listener_.Accept(base_);
  ASSERT_TRUE(AwaitFullWindow());
  upstream_->Send("HTTP/1.1 200 OK\r\n\r\nabc");
  upstream_->CloseSending();
  AwaitRequest();
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
  EXPECT_EQ(handler_.body, "abc");
}

TEST_F(upstream_pool_test, DistinguishesCallResults) {
  Begin();
  Accept();
  upstream_->Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  upstream_->Close();
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kBroken);
  EXPECT_EQ(call_->EndCause(), call_end_cause::kUpstreamClosed);
  Begin();
  Accept();
  upstream_->Reset();
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kBroken);
  EXPECT_EQ(call_->EndCause(), call_end_cause::kUpstreamReset);
  Begin();
  Accept();
  upstream_->Send("no answer at all\r\n\r\n");
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kMalformed);
  EXPECT_EQ(call_->EndCause(), call_end_cause::kMalformed);
  listener_.Close();
  Begin();
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kNotConnected);
}

TEST_F(upstream_pool_test, DoesNotReuseConnectionAfterAnnouncedClose) {
  Begin();
  Accept();
  upstream_->Send(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
  Begin();
  EXPECT_FALSE(call_->IsOnReusedConnection());
}

// An open connection would let the upstream keep working for a caller that has
// disconnected.
TEST_F(upstream_pool_test, CancelledCallClosesItsConnection) {
  Begin();
  Accept();
  call_.reset();
  EXPECT_TRUE(RunUntil(base_, [&] {
    upstream_->Poll();
    return upstream_->ended;
  }));
  EXPECT_FALSE(handler_.end.has_value());
}

// An orderly close still delivers the bytes of a cancelled request that a slow
// link holds, so an upstream ran a request almost a second after its caller had
// disconnected.
TEST_F(upstream_pool_test, CancelledCallResetsItsConnection) {
  Begin();
  Accept();
  call_.reset();
  RunUntil(base_, [&] {
    upstream_->Poll();
    return upstream_->ended;
  });
  EXPECT_TRUE(upstream_->was_reset);
}

}  // namespace
}  // namespace cuminswitch
