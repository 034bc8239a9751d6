// Calls to upstreams that answer well, badly, or not at all.
#include "cuminswitch/Http1/upstream_pool.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "loopback.h"

namespace cuminswitch {
namespace {

class recording_handler : public upstream_handler {
 public:
  void OnResponseHead(const message_head& value) override { head = value; }
  void OnResponseBody(std::string_view data) override { body += data; }
  void OnCallEnd(upstream_call_result value) override { end = value; }
  std::optional<message_head> head;
  std::string body;
  std::optional<upstream_call_result> end;
};

class upstream_pool_test : public testing::Test {
 protected:
  upstream_pool_test()
      : base_(event_base_new()), pool_(base_), address_(listener_.Address()) {}

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
  /// Takes the connection that the call opens, and its request.
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
  recording_handler handler_;
  std::unique_ptr<upstream_call> call_;
};

constexpr char kAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok";

TEST_F(upstream_pool_test, KeepsAConnectionForTheAnnouncedTime) {
  Begin();
  Accept();
  upstream_->Send(kAnswer);
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
  EXPECT_EQ(handler_.body, "ok");
  Begin();
  EXPECT_TRUE(call_->IsOnKeptConnection());
  AwaitRequest();
  upstream_->Send(kAnswer);
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
  EXPECT_EQ(pool_.opened_count(), 1U);
}

TEST_F(upstream_pool_test, ARequestThatRunsOnceWantsAConnectionUsedJustNow) {
  Begin();
  Accept();
  upstream_->Send(kAnswer);
  AwaitEnd();
  Begin(std::chrono::milliseconds(0));
  EXPECT_FALSE(call_->IsOnKeptConnection());
}

TEST_F(upstream_pool_test, KeepsNoMoreIdleConnectionsThanItMay) {
  pool_.SetIdleLimit([](const endpoint& /*to*/) { return 0; });
  pool_.TrimIdle();
  Begin();
  Accept();
  upstream_->Send(kAnswer);
  AwaitEnd();
  Begin();
  EXPECT_FALSE(call_->IsOnKeptConnection());
}

TEST_F(upstream_pool_test, ALowerLimitClosesIdleConnections) {
  Begin();
  Accept();
  upstream_->Send(kAnswer);
  AwaitEnd();
  pool_.SetIdleLimit([](const endpoint& /*to*/) { return 0; });
  pool_.TrimIdle();
  EXPECT_TRUE(RunUntil(base_, [&] {
    upstream_->Poll();
    return upstream_->ended;
  }));
}

// Symptom: a caller gets another request's answer.
// Sequence: a faulty upstream sends a second answer behind the first; the next
// request goes over the same connection.
// Cause: bytes that answer no request were left for the next one.
TEST_F(upstream_pool_test, ExtraBytesEndTheConnection) {
  Begin();
  Accept();
  upstream_->Send(std::string(kAnswer) + kAnswer);
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
  EXPECT_EQ(handler_.body, "ok");
  Begin();
  EXPECT_FALSE(call_->IsOnKeptConnection());
}

TEST_F(upstream_pool_test, LateExtraBytesEndAnIdleConnection) {
  Begin();
  Accept();
  upstream_->Send(kAnswer);
  AwaitEnd();
  upstream_->Send(kAnswer);
  ASSERT_TRUE(RunUntil(base_, [&] {
    upstream_->Poll();
    return upstream_->ended;
  }));
  Begin();
  EXPECT_FALSE(call_->IsOnKeptConnection());
}

// Symptom: a caller gets a part of an answer as a whole one.
// Sequence: an answer without length is reset on its way.
// Cause: every end of the connection was taken for the end of the answer.
TEST_F(upstream_pool_test, AResetIsNoEndOfAnAnswerWithoutLength) {
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

TEST_F(upstream_pool_test, ToldApartHowACallEnds) {
  Begin();
  Accept();
  upstream_->Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  upstream_->Close();
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kBroken);
  Begin();
  Accept();
  upstream_->Send("no answer at all\r\n\r\n");
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kMalformed);
  listener_.Close();
  Begin();
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kNotConnected);
}

TEST_F(upstream_pool_test, AnAnnouncedCloseIsHeeded) {
  Begin();
  Accept();
  upstream_->Send(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
  EXPECT_EQ(AwaitEnd(), upstream_call_result::kComplete);
  Begin();
  EXPECT_FALSE(call_->IsOnKeptConnection());
}

// Symptom: an upstream works on for a caller that has left.
TEST_F(upstream_pool_test, ACancelledCallClosesItsConnection) {
  Begin();
  Accept();
  call_.reset();
  EXPECT_TRUE(RunUntil(base_, [&] {
    upstream_->Poll();
    return upstream_->ended;
  }));
  EXPECT_FALSE(handler_.end.has_value());
}

// Symptom: an upstream runs a request almost a second after its caller left.
// Sequence: a request is sent; the link holds its bytes; the caller leaves and
// the call is cancelled; the link carries the bytes after all.
// Cause: the connection was closed in good order, so that what was not yet
// delivered still was.
TEST_F(upstream_pool_test, ACancelledCallResetsItsConnection) {
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
