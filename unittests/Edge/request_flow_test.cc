// Tests the attempts of one request, with plain sockets as upstreams.
#include "cuminswitch/Edge/request_flow.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../Http1/loopback.h"
#include "cuminswitch/Edge/request_log.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Http1/upstream_pool.h"
#include "edge_fakes.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

class recording_owner : public flow_owner {
 public:
  void OnFlowEvent(core_event event) override {
    if (const auto* first = std::get_if<attempt_first_byte>(&event)) {
      begun.push_back(first->attempt);
    }
  }
  void OnFlowFeedback(const request_flow& /*flow*/,
                      const upstream_feedback& feedback) override {
    if (feedback.limit) {
      limits.push_back(*feedback.limit);
    }
  }
  void OnOtherResponse(const request_flow& /*flow*/,
                       const std::string& /*other*/) override {
    ++skipped;
  }
  void OnFlowAttemptFailed(const request_flow& flow,
                           attempt_result result,
                           uint32_t status) override {
    ++failed;
    failure_line = nlohmann::json::parse(
        DescribeAttemptFailure(ReadBootClock(), flow, result, status).text() +
        "}");
    last_failure = result;
  }
  void OnConnectionLost(const request_flow& /*flow*/) override {}
  void OnAttemptStalled(const request_flow& /*flow*/) override {}
  void OnUpstreamSilent(const request_flow& /*flow*/) override {}
  bool ReserveRetry(const request_flow& /*flow*/) override { return can_retry; }
  bool MayStillSend(const request_flow& /*flow*/) override {
    return may_still_send;
  }
  void OnFlowEnd(request_flow& flow, const flow_result& end) override {
    end_line = nlohmann::json::parse(
        DescribeEnd(ReadBootClock(), flow, end).text() + "}");
    ended = true;
    last = end;
  }
  bool can_retry = true;
  bool may_still_send = true;
  int failed = 0;
  int skipped = 0;
  nlohmann::json failure_line;
  nlohmann::json end_line;
  std::vector<attempt_id> begun;
  attempt_result last_failure = attempt_result::kSuccess;
  std::vector<limit_notice> limits;
  bool ended = false;
  flow_result last;
};

class request_flow_test : public testing::Test {
 protected:
  request_flow_test() : base_(event_base_new()), pool_(base_, &account_) {
    exchange_.head.method = "POST";
    exchange_.head.target = "/";
    route_.kind = request_kind::kResumableStream;
    route_.target_latency = milliseconds(25);
    route_.max_event_gap = milliseconds(100);
    route_.max_attempts = 2;
    route_.timeout = std::chrono::seconds(20);
    Restart(ReadBootClock() + route_.timeout);
  }

  /// Starts a new request.
  void Restart(time_point deadline) {
    flow_ = std::make_unique<request_flow>(
        request_flow::options{.id = 1,
                              .exchange = &exchange_,
                              .config = std::make_shared<routing_config>(),
                              .route = &route_,
                              .arrived = ReadBootClock(),
                              .deadline = deadline},
        request_flow::parts{.base = base_,
                            .pool = pool_,
                            .protocol = protocol_,
                            .owner = owner_});
    flow_->Start();
  }

  /// Sends the next attempt and returns the upstream's side of it, which has
  /// read the request: with unread bytes, its close would be a reset.
  std::unique_ptr<raw_socket> Dispatch(attempt_id attempt) {
    flow_->Dispatch(ReadBootClock(), {.request = 1,
                                      .attempt = attempt,
                                      .upstream = "u",
                                      .address = listener_.Address()});
    auto upstream = listener_.Accept(base_);
    RunUntil(base_, [&] {
      upstream->Poll();
      return upstream->received.ends_with("\r\n\r\n");
    });
    return upstream;
  }
  /// Lets the loop run until the stall time of a first attempt has passed.
  void PassStallTimeout() {
    const time_point end = ReadBootClock() + milliseconds(150);
    RunUntil(base_, [&] { return ReadBootClock() >= end; });
  }

  event_base* base_;
  byte_account account_{4UL << 20};
  upstream_pool pool_;
  raw_listener listener_;
  fake_exchange exchange_;
  fixed_protocol protocol_;
  recording_owner owner_;
  route_spec route_;
  std::unique_ptr<request_flow> flow_;
};

constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kEvent[] = "7\r\nid: 1\n\n\r\n";

// Symptom: streams are truncated two seconds after their requests were
// accepted.
// Sequence: the first attempt waits at an engine and is cancelled; the second
// one, the last that the route allows, streams; the stall timeout of the first
// one elapses.
// Cause: the first attempt's timer was not stopped and ended the second one.
TEST_F(request_flow_test, CancelledAttemptDoesNotStallNextOne) {
  const auto first = Dispatch(1);
  flow_->CancelAttempt();
  const auto second = Dispatch(2);
  second->Send(std::string(kStreamHead) + kEvent);
  RunUntil(base_, [&] { return !exchange_.sent.empty(); });
  PassStallTimeout();
  EXPECT_EQ(owner_.failed, 0);
  EXPECT_FALSE(exchange_.aborted);
  second->Send("0\r\n\r\n");
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.ended; }));
  EXPECT_EQ(owner_.last.result, outcome::kAnswered);
  EXPECT_TRUE(exchange_.finished);
}

// Guards against a caller that gets a closed connection, or may not repeat its
// request, when the daemon stops before an upstream was found.
TEST_F(request_flow_test, StopEndsWaitingRequestAsNotRun) {
  flow_->EndForStop();
  EXPECT_EQ(exchange_.status, 503U);
  EXPECT_TRUE(exchange_.finished);
  EXPECT_EQ(owner_.last.result, outcome::kNotRun);
}

TEST_F(request_flow_test, StopEndsSentRequestAsUnknown) {
  const auto upstream = Dispatch(1);
  flow_->EndForStop();
  EXPECT_EQ(exchange_.status, 502U);
  EXPECT_EQ(owner_.last.result, outcome::kUnknown);
}

// Guards against truncating a response that may still be completed in time.
TEST_F(request_flow_test, StopLeavesBegunResponse) {
  const auto upstream = Dispatch(1);
  upstream->Send(std::string(kStreamHead) + kEvent);
  RunUntil(base_, [&] { return !exchange_.sent.empty(); });
  flow_->EndForStop();
  EXPECT_FALSE(owner_.ended);
  upstream->Send("0\r\n\r\n");
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.ended; }));
  EXPECT_TRUE(exchange_.finished);
}

TEST_F(request_flow_test, FailsStalledAttemptIfRetryIsAllowed) {
  const auto first = Dispatch(1);
  PassStallTimeout();
  EXPECT_EQ(owner_.failed, 1);
  EXPECT_FALSE(owner_.ended);
}

// Guards against a time-out for a request that another upstream could serve:
// its route's target latency exceeds its deadline.
TEST_F(request_flow_test, StalledAttemptLeavesTimeForRetry) {
  route_.target_latency = std::chrono::seconds(1);
  route_.timeout = milliseconds(300);
  const time_point deadline = ReadBootClock() + route_.timeout;
  Restart(deadline);
  const auto first = Dispatch(1);
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.failed == 1; }));
  EXPECT_EQ(owner_.last_failure, attempt_result::kStalled);
  EXPECT_LT(ReadBootClock(), deadline);
}

TEST_F(request_flow_test, WaitsForStalledUpstreamOnLastAttempt) {
  route_.max_attempts = 1;
  const auto only = Dispatch(1);
  PassStallTimeout();
  EXPECT_EQ(owner_.failed, 0);
}

// Symptom: status 502 for requests that engines were about to respond to.
// Sequence: all engines are busy for seconds; a request waits at one for four
// times its target latency; the retry budget is exhausted.
// Cause: the attempt was ended before it was known whether the request could be
// retried at another upstream.
TEST_F(request_flow_test, WaitsForStalledUpstreamIfNoOtherIsAvailable) {
  owner_.can_retry = false;
  const auto first = Dispatch(1);
  PassStallTimeout();
  EXPECT_EQ(owner_.failed, 0);
  owner_.can_retry = true;
  PassStallTimeout();
  EXPECT_EQ(owner_.failed, 1) << "the owner is queried again";
}

// Guards against leaving a sound upstream that is silent for a second within a
// response.
TEST_F(request_flow_test, StaysAtUpstreamThatIsSilentForASecond) {
  const auto first = Dispatch(1);
  first->Send(std::string(kStreamHead) + kEvent);
  ASSERT_TRUE(RunUntil(base_, [&] { return !exchange_.sent.empty(); }));
  const time_point end = ReadBootClock() + milliseconds(1300);
  RunUntil(base_, [&] { return ReadBootClock() >= end; });
  ASSERT_EQ(owner_.failed, 0);
  first->Send("0\r\n\r\n");
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.ended; }));
  EXPECT_TRUE(exchange_.finished);
}

// Guards against a stall timer that elapses while the caller is slow and is not
// started again.
TEST_F(request_flow_test, LeavesUpstreamThatIsSilentAfterCallerDrained) {
  exchange_.pending = 1UL << 20;
  const auto first = Dispatch(1);
  first->Send(std::string(kStreamHead) + kEvent);
  ASSERT_TRUE(RunUntil(base_, [&] { return !exchange_.sent.empty(); }));
  const time_point drained = ReadBootClock() + milliseconds(2600);
  RunUntil(base_, [&] { return ReadBootClock() >= drained; });
  ASSERT_EQ(owner_.failed, 0) << "nothing is read from it";
  exchange_.listener->OnCallerDrained();
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.failed > 0; }));
  EXPECT_EQ(owner_.last_failure, attempt_result::kStalled);
  EXPECT_GE(ReadBootClock() - drained, milliseconds(2400))
      << "the upstream was not given time";
}

// Symptom: in an overloaded fleet requests move from engine to engine, and each
// engine computes their prompts again.
// Cause: the mean wait at that load exceeded the stall timeout.
TEST_F(request_flow_test, StallTimeoutExceedsMeanFirstByte) {
  flow_->Dispatch(ReadBootClock(), {.request = 1,
                                    .attempt = 1,
                                    .upstream = "u",
                                    .address = listener_.Address(),
                                    .mean_first_byte = milliseconds(100)});
  const auto first = listener_.Accept(base_);
  PassStallTimeout();
  EXPECT_EQ(owner_.failed, 0);
}

constexpr char kCloseDelimitedHead[] = "HTTP/1.1 200 OK\r\n\r\n";

// Guards against a stream that its upstream broke off inside an event reaching
// the caller as complete.
TEST_F(request_flow_test, StreamThatEndsInsideEventIsBroken) {
  route_.kind = request_kind::kStream;
  const auto upstream = Dispatch(1);
  upstream->Send(std::string(kCloseDelimitedHead) + "id: 1\n\nid: 2\nda");
  upstream->Close();
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.ended; }));
  EXPECT_EQ(owner_.last.result, outcome::kUnknown);
  EXPECT_TRUE(exchange_.aborted);
  EXPECT_EQ(exchange_.sent, "id: 1\n\n");
}

// Guards against a log in which a silence, an upstream's failure and a
// truncated response look alike.
TEST_F(request_flow_test, LogNamesSilenceAndCauseOfTruncatedResponse) {
  const auto first = Dispatch(1);
  first->Send(std::string(kStreamHead) + kEvent);
  ASSERT_TRUE(RunUntil(base_, [&] { return owner_.failed > 0; }));
  EXPECT_EQ(owner_.failure_line["ended_by"], "stall_timeout");
  EXPECT_GT(owner_.failure_line["silent_ms"],
            2 * route_.target_latency / milliseconds(1));
  EXPECT_EQ(owner_.failure_line["response_begun"], true);
  const auto second = Dispatch(2);
  second->Reset();
  ASSERT_TRUE(RunUntil(base_, [&] { return owner_.failed > 1; }));
  EXPECT_EQ(owner_.failure_line["ended_by"], "upstream_reset");
  flow_->GiveUp({.request = 1});
  EXPECT_EQ(owner_.end_line["truncated"], true);
  EXPECT_EQ(owner_.end_line["attempts"], 2);
}

// Guards against an upstream that stops at the request's deadline counting as
// crashed.
TEST_F(request_flow_test, StreamThatEndsAtItsDeadlineHasExpired) {
  const time_point deadline = ReadBootClock() + milliseconds(20);
  Restart(deadline);
  const auto upstream = Dispatch(1);
  EXPECT_LE(protocol_.last_time_left, milliseconds(20));
  upstream->Send(std::string(kStreamHead) + kEvent);
  ASSERT_TRUE(RunUntil(base_, [&] { return !exchange_.sent.empty(); }));
  RunUntil(base_, [&] { return ReadBootClock() >= deadline; });
  upstream->Close();
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.failed > 0; }));
  EXPECT_EQ(owner_.last_failure, attempt_result::kExpired);
}

/// A request that may not wait at its upstream.
class reserved_request_test : public request_flow_test {
 protected:
  reserved_request_test() {
    flow_->Dispatch(ReadBootClock(), {.request = 1,
                                      .attempt = 1,
                                      .upstream = "u",
                                      .address = listener_.Address(),
                                      .reservation = milliseconds(500)});
    upstream_ = listener_.Accept(base_);
    EXPECT_TRUE(RunUntil(base_, [&] {
      upstream_->Poll();
      return upstream_->received.find("/reserve") != std::string::npos;
    }));
  }
  std::unique_ptr<raw_socket> upstream_;
};

TEST_F(reserved_request_test, IsSentWithItsReservation) {
  EXPECT_EQ(flow_->attempts(), 0U);
  upstream_->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh7");
  ASSERT_TRUE(RunUntil(base_, [&] { return flow_->attempts() == 1; }));
  EXPECT_EQ(protocol_.last_reservation, "h7");
}

// Guards against responses to reservations, which state no identifier, that are
// taken for those to requests on the same connection, and the other way round.
TEST_F(reserved_request_test, SharesNoConnectionWithRequests) {
  protocol_.response.attempt = "another";
  upstream_->Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
  RunUntil(base_, [&] { return flow_->attempts() > 0; });
  EXPECT_EQ(flow_->attempts(), 0U);
  protocol_.response.attempt = "";
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.failed > 0; }));
  flow_->Dispatch(ReadBootClock(), {.request = 1,
                                    .attempt = 2,
                                    .upstream = "u",
                                    .address = listener_.Address(),
                                    .reservation = milliseconds(500)});
  const auto second = listener_.Accept(base_);
  second->Send(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: "
      "timeout=5\r\n\r\nh8");
  ASSERT_TRUE(RunUntil(base_, [&] { return flow_->attempts() == 1; }));
  EXPECT_EQ(protocol_.last_reservation, "h8");
  EXPECT_NE(listener_.Accept(base_), nullptr);
}

// Guards against a request in the queue of an upstream that has no free slot.
TEST_F(reserved_request_test, IsNotSentWithoutAReservation) {
  upstream_->Send("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil(base_, [&] { return owner_.failed > 0; }));
  EXPECT_EQ(owner_.last_failure, attempt_result::kNotReserved);
  flow_->GiveUp({.request = 1, .status = 503, .message = "full"});
  EXPECT_EQ(owner_.last.result, outcome::kNotRun) << "it may be sent again";
}

// Guards against a request to an upstream that has begun to leave meanwhile.
TEST_F(reserved_request_test, IsNotSentToUpstreamThatAcceptsNoMore) {
  owner_.may_still_send = false;
  upstream_->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh7");
  ASSERT_TRUE(RunUntil(base_, [&] { return owner_.failed > 0; }));
  EXPECT_EQ(owner_.last_failure, attempt_result::kNotReserved);
  EXPECT_EQ(flow_->attempts(), 0U);
  flow_->GiveUp({.request = 1, .status = 503, .message = "leaving"});
  EXPECT_EQ(owner_.last.result, outcome::kNotRun) << "it may be sent again";
}

// Guards against a request that waits for an upstream without responses.
TEST_F(reserved_request_test, IsNotSentAfterAReservationTimesOut) {
  ASSERT_TRUE(RunUntil(base_, [&] { return owner_.failed > 0; }));
  EXPECT_EQ(owner_.last_failure, attempt_result::kNotReserved);
  EXPECT_EQ(flow_->attempts(), 0U);
}

// Guards against a request that another process than the expected one refuses
// counting as refused for lack of a slot.
TEST_F(reserved_request_test, RefusalByAnotherUpstreamIsAMismatch) {
  upstream_->Send("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil(base_, [&] { return owner_.failed > 0; }));
  EXPECT_EQ(owner_.last_failure, attempt_result::kMismatch);
}

// Guards against a request that is charged for a run that never was.
TEST_F(reserved_request_test, CallerThatLeavesEndsTheReservation) {
  EXPECT_EQ(flow_->runs(), 1U);
  exchange_.listener->OnCallerDisconnected();
  EXPECT_TRUE(owner_.ended);
  EXPECT_EQ(flow_->runs(), 0U);
  EXPECT_FALSE(flow_->may_have_run());
  EXPECT_TRUE(RunUntil(base_, [&] {
    upstream_->Poll();
    return upstream_->ended;
  }));
}

TEST_F(request_flow_test, ChunkedStreamThatEndsInsideEventIsBroken) {
  route_.kind = request_kind::kStream;
  const auto upstream = Dispatch(1);
  upstream->Send(std::string(kStreamHead) + kEvent + "3\r\nid:\r\n0\r\n\r\n");
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.ended; }));
  EXPECT_EQ(owner_.last.result, outcome::kUnknown);
  EXPECT_TRUE(exchange_.aborted);
}

TEST_F(request_flow_test, ResumesStreamThatEndedInsideEvent) {
  const auto first = Dispatch(1);
  first->Send(std::string(kCloseDelimitedHead) + "id: 1\n\nid: 2\nda");
  first->Close();
  ASSERT_TRUE(RunUntil(base_, [&] { return owner_.failed > 0; }));
  EXPECT_FALSE(owner_.ended);
  const auto second = Dispatch(2);
  second->Send(std::string(kCloseDelimitedHead) + "id: 2\ndata: b\n\n");
  second->Close();
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.ended; }));
  EXPECT_TRUE(exchange_.finished);
  EXPECT_EQ(exchange_.sent, "id: 1\n\nid: 2\ndata: b\n\n");
}

// Guards against a stream that looks complete because the upstream that went on
// with it stopped within its head.
TEST_F(request_flow_test, HeadThatStopsHalfwayEndsNoResumedStream) {
  const std::string head = kStreamHead;
  for (size_t size = 1; size < head.size(); size += 3) {
    exchange_ = {};
    exchange_.head.method = "POST";
    exchange_.head.target = "/";
    owner_ = {};
    Restart(ReadBootClock() + std::chrono::seconds(20));
    const auto first = Dispatch(1);
    first->Send(std::string(kCloseDelimitedHead) + "id: 1\n\nid: 2\nda");
    first->Close();
    ASSERT_TRUE(RunUntil(base_, [&] { return owner_.failed == 1; }));
    const auto second = Dispatch(2);
    second->Send(head.substr(0, size));
    second->Close();
    ASSERT_TRUE(RunUntil(base_, [&] { return owner_.failed == 2; }));
    EXPECT_EQ(owner_.last_failure, attempt_result::kBroken)
        << head.substr(0, size);
    EXPECT_FALSE(exchange_.finished);
    EXPECT_EQ(exchange_.sent, "id: 1\n\n");
  }
}

// Guards against a resumed stream that is cancelled while it goes on, since it
// looks as if it still waited at its upstream.
// Guards against reporting a request as not run that runs: an upstream sends a
// refusal twice, and the second copy ends the next attempt at it, which has the
// same id.
TEST_F(request_flow_test, SecondCopyOfRefusalEndsNoLaterAttempt) {
  constexpr char kRefusal[] =
      "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nKeep-Alive: "
      "timeout=15\r\n\r\n";
  protocol_.response = {.was_not_run = true};
  const auto first = Dispatch(1);
  first->Send(kRefusal);
  ASSERT_TRUE(RunUntil(base_, [&] { return owner_.failed == 1; }));
  const auto second = Dispatch(2);
  ASSERT_NE(second, nullptr) << "the connection of the first attempt is reused";
  first->Send(kRefusal);
  PassStallTimeout();
  EXPECT_NE(owner_.last_failure, attempt_result::kSuccess);
  second->Send(kStreamHead);
  protocol_.response = {.is_signed = true};
  second->Send(std::string(kEvent) + "0\r\n\r\n");
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.ended; }));
  EXPECT_EQ(owner_.last.result, outcome::kAnswered);
}

// Guards against a request that runs at two upstreams, since the late copy of
// an earlier response ended its first attempt.
TEST_F(request_flow_test, LateCopyOfAnotherResponseEndsNoAttempt) {
  route_.kind = request_kind::kStream;
  protocol_.response = {.attempt = "another", .was_not_run = true};
  const auto upstream = Dispatch(1);
  upstream->Send("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil(base_, [&] { return owner_.skipped == 1; }));
  EXPECT_EQ(owner_.failed, 0);
  protocol_.response = {.is_signed = true};
  upstream->Send(std::string(kStreamHead) + kEvent + "0\r\n\r\n");
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.ended; }));
  EXPECT_EQ(owner_.last.result, outcome::kAnswered);
}

// Guards against a daemon that exceeds its memory, and is killed with all its
// callers, since an upstream sends a body or an event without end.
TEST_F(request_flow_test, ResponseWithoutEndIsEndedWhileItIsSmall) {
  for (const bool is_stream : {false, true}) {
    protocol_.response = {.is_signed = is_stream};
    Restart(ReadBootClock() + std::chrono::seconds(20));
    owner_.failed = 0;
    const auto upstream = Dispatch(1);
    upstream->Send("HTTP/1.1 200 OK\r\n\r\n");
    size_t most = 0;
    EXPECT_TRUE(RunUntil(base_, [&] {
      upstream->Send(std::string(64UL << 10, 'x'));
      most = std::max(most, account_.held());
      return owner_.failed == 1;
    }));
    EXPECT_EQ(owner_.last_failure, attempt_result::kUnrelated);
    EXPECT_EQ(owner_.failure_line["ended_by"], "too_large");
    EXPECT_LT(most, account_.limit() / 2);
  }
  flow_.reset();
  RunUntil(base_, [&] { return account_.held() == 0; });
  EXPECT_EQ(account_.held(), 0U);
}

TEST_F(request_flow_test, ReportsFirstByteOfEachAttempt) {
  const auto first = Dispatch(1);
  first->Send(std::string(kCloseDelimitedHead) + "id: 1\n\nid: 2\nda");
  first->Close();
  ASSERT_TRUE(RunUntil(base_, [&] { return owner_.failed > 0; }));
  const auto second = Dispatch(2);
  second->Send(std::string(kStreamHead) + kEvent);
  RunUntil(base_, [&] { return owner_.begun.size() == 2; });
  EXPECT_EQ(owner_.begun, (std::vector<attempt_id>{1, 2}));
}

// Guards against an upstream that crashed before its first event counting as a
// successful empty stream.
TEST_F(request_flow_test, CloseDelimitedStreamWithoutEventsIsBroken) {
  route_.kind = request_kind::kStream;
  const auto upstream = Dispatch(1);
  upstream->Send(kCloseDelimitedHead);
  upstream->Close();
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.ended; }));
  EXPECT_EQ(owner_.last.status, 502U);
}

TEST_F(request_flow_test, CloseDelimitedStreamThatIsResetIsBroken) {
  route_.kind = request_kind::kStream;
  const auto upstream = Dispatch(1);
  upstream->Send(std::string(kCloseDelimitedHead) + "id: 1\n\n");
  RunUntil(base_, [&] { return !exchange_.sent.empty(); });
  upstream->Reset();
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.ended; }));
  EXPECT_EQ(owner_.last.result, outcome::kUnknown);
  EXPECT_TRUE(exchange_.aborted);
}

TEST_F(request_flow_test, CloseDelimitedStreamThatEndsAfterEventIsComplete) {
  route_.kind = request_kind::kStream;
  const auto upstream = Dispatch(1);
  upstream->Send(std::string(kCloseDelimitedHead) + "id: 1\n\n: end\n");
  upstream->Close();
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.ended; }));
  EXPECT_EQ(owner_.last.result, outcome::kAnswered);
  EXPECT_TRUE(exchange_.finished);
  EXPECT_EQ(exchange_.sent, "id: 1\n\n: end\n");
}

TEST_F(request_flow_test, OtherBodyOfStreamRouteIsCompleteByItsFraming) {
  const auto upstream = Dispatch(1);
  upstream->Send(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Content-Length: 2\r\n\r\n{}");
  EXPECT_TRUE(RunUntil(base_, [&] { return owner_.ended; }));
  EXPECT_TRUE(exchange_.finished);
  EXPECT_EQ(exchange_.sent, "{}");
}

// Symptom: an upstream that advertises a rate limit gets bursts beyond it.
// Sequence: the upstream refuses a request, without a limit in the refusal; the
// next requests are sent without a permit until a response advertises the limit
// again.
// Cause: every response without a limit removed the limit. In a soak run each
// burst followed a refusal, with no update from another daemon in between.
TEST_F(request_flow_test, RefusalWithoutLimitDoesNotRemoveLimit) {
  protocol_.response = {.was_not_run = true};
  const auto refused = Dispatch(1);
  refused->Send(
      "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  RunUntil(base_, [&] { return owner_.failed > 0; });
  EXPECT_TRUE(owner_.limits.empty());
  // A refusal that advertises a limit is applied.
  protocol_.response.limit = {.kind = notice_kind::kValid, .rate = 2};
  const auto again = Dispatch(2);
  again->Send(
      "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  RunUntil(base_, [&] { return owner_.failed > 1; });
  ASSERT_EQ(owner_.limits.size(), 1U);
  EXPECT_EQ(owner_.limits.front().rate, 2);
}

TEST_F(request_flow_test, ReportsResponseWithoutLimit) {
  const auto first = Dispatch(1);
  first->Send(kStreamHead);
  EXPECT_TRUE(RunUntil(base_, [&] { return !owner_.limits.empty(); }));
  EXPECT_EQ(owner_.limits.front().kind, notice_kind::kNone);
}

}  // namespace
}  // namespace cuminswitch
