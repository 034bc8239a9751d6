// Tests of the HTTP server and client against each other on loopback.
#include <event2/event.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <string>

#include "cuminswitch/Net/bind_error.h"
#include "cuminswitch/Net/http_call.h"
#include "cuminswitch/Net/http_exchange.h"
#include "cuminswitch/Net/http_server.h"
#include "cuminswitch/Net/loop_timer.h"

namespace cuminswitch {
namespace {

class function_handler : public http_request_handler {
 public:
  void OnRequest(std::shared_ptr<http_exchange> exchange) override {
    serve(exchange);
  }
  std::function<void(std::shared_ptr<http_exchange>)> serve;
};

class recording_handler : public http_call_handler {
 public:
  explicit recording_handler(event_base* base) : base_(base) {}
  void OnHeaders(const http_response_head& value) override { head = value; }
  void OnData(std::string_view data) override {
    body += data;
    if (on_data) {
      on_data();
    }
  }
  void OnEnd(http_result value) override {
    end = value;
    ended = true;
    event_base_loopbreak(base_);
  }
  http_response_head head;
  std::string body;
  http_result end = http_result::kNotConnected;
  bool ended = false;
  std::function<void()> on_data;

 private:
  event_base* base_;
};

class http_test : public testing::Test {
 protected:
  http_test() : base_(event_base_new()), client_(new http_client(base_)) {
    server_ = std::make_unique<http_server>(
        base_,
        http_server::options{.listen = {"127.0.0.1", 0},
                             .max_body_size = 1000,
                             .max_header_size = 2000},
        handler_);
  }
  ~http_test() override {
    client_.reset();
    server_.reset();
    event_base_loop(base_, EVLOOP_NONBLOCK);
    event_base_free(base_);
  }

  http_call_options To(const std::string& path) const {
    return {.to = server_->Address(), .path = path};
  }

  recording_handler Call(const http_call_options& opts) {
    recording_handler result(base_);
    const std::unique_ptr<http_call> call = client_->Start(opts, result);
    event_base_dispatch(base_);
    return result;
  }

  event_base* base_;
  function_handler handler_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<http_server> server_;
};

TEST_F(http_test, ReadsCompleteResponse) {
  handler_.serve = [](const auto& exchange) {
    EXPECT_EQ(exchange->Method(), "POST");
    EXPECT_EQ(exchange->Path(), "/a/b");
    EXPECT_EQ(exchange->Parameter("x"), "1 2");
    EXPECT_EQ(exchange->Header("X-Test"), "yes");
    exchange->Reply(201, "text/plain", "got " + std::string(exchange->Body()),
                    {{.name = "X-Answer", .value = "fine"}});
  };
  http_call_options opts = To("/a/b?x=1%202");
  opts.method = http_method::kPost;
  opts.body = "body";
  opts.headers = {{.name = "X-Test", .value = "yes"}};
  const recording_handler result = Call(opts);
  EXPECT_EQ(result.end, http_result::kComplete);
  EXPECT_EQ(result.head.status, 201U);
  EXPECT_EQ(result.head.Find("x-answer"), "fine");
  EXPECT_EQ(result.body, "got body");
}

TEST_F(http_test, ConsecutiveCallsComplete) {
  handler_.serve = [](const auto& exchange) {
    exchange->Reply(200, "text/plain", "x");
  };
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Call(To("/")).end, http_result::kComplete);
  }
}

// A client that confuses a refused connection with a lost one reports "not run"
// for a request that ran, or the reverse.
TEST_F(http_test, RefusedConnectionIsNotConnected) {
  http_call_options opts = To("/");
  server_.reset();
  EXPECT_EQ(Call(opts).end, http_result::kNotConnected);
}

TEST_F(http_test, ConnectionThatBreaksAfterTheRequestIsBroken) {
  handler_.serve = [](const auto& exchange) { exchange->Abort(); };
  EXPECT_EQ(Call(To("/")).end, http_result::kBroken);
  http_call_options fresh = To("/");
  fresh.fresh_connection = true;
  EXPECT_EQ(Call(fresh).end, http_result::kBroken);
}

// An unframed response that states a length of 0 loses its body.
TEST_F(http_test, UnframedResponseEndsWithItsConnection) {
  handler_.serve = [](const auto& exchange) {
    exchange->BeginUnframed(200, "text/plain");
    exchange->SendChunk("to ");
    exchange->SendChunk("the end");
    exchange->EndStream();
  };
  const recording_handler result = Call(To("/"));
  EXPECT_EQ(result.end, http_result::kComplete);
  EXPECT_EQ(result.head.Find("Content-Length"), "");
  EXPECT_EQ(result.head.Find("Transfer-Encoding"), "");
  EXPECT_EQ(result.body, "to the end");
}

TEST_F(http_test, StreamThatBreaksHalfwayIsBroken) {
  handler_.serve = [](const auto& exchange) {
    exchange->BeginStream(200, "text/event-stream");
    exchange->SendChunk("half");
  };
  recording_handler result(base_);
  const std::unique_ptr<http_call> call = client_->Start(To("/"), result);
  result.on_data = [this] { CallLater(base_, [this] { server_.reset(); }); };
  event_base_dispatch(base_);
  EXPECT_EQ(result.end, http_result::kBroken);
  EXPECT_EQ(result.body, "half");
}

TEST_F(http_test, UnresponsiveServerIsBrokenAfterIdleTimeout) {
  handler_.serve = [](const auto&) {};
  http_call_options opts = To("/");
  opts.idle_timeout = std::chrono::milliseconds(50);
  EXPECT_EQ(Call(opts).end, http_result::kBroken);
}

// A caller that waits for its response sends nothing, so the read time-out must
// not apply to it, or slow responses would be aborted.
TEST_F(http_test, WaitingCallerIsNotTimedOut) {
  server_ = std::make_unique<http_server>(
      base_,
      http_server::options{.listen = {"127.0.0.1", 0},
                           .read_timeout = std::chrono::milliseconds(30)},
      handler_);
  std::unique_ptr<loop_timer> timer;
  handler_.serve = [&](const std::shared_ptr<http_exchange>& exchange) {
    timer = std::make_unique<loop_timer>(
        base_, [exchange] { exchange->Reply(200, "text/plain", "late"); });
    timer->Start(std::chrono::milliseconds(150));
  };
  EXPECT_EQ(Call(To("/")).body, "late");
}

TEST_F(http_test, ReadsCompleteStream) {
  handler_.serve = [](const auto& exchange) {
    exchange->BeginStream(200, "text/event-stream");
    for (int i = 0; i < 1000; ++i) {
      exchange->SendChunk("piece " + std::to_string(i) + "\n");
    }
    exchange->EndStream();
  };
  const recording_handler result = Call(To("/"));
  EXPECT_EQ(result.end, http_result::kComplete);
  EXPECT_TRUE(result.body.ends_with("piece 999\n"));
}

TEST_F(http_test, OversizedBodyIsAnswered413) {
  handler_.serve = [](const auto&) { ADD_FAILURE() << "must not be served"; };
  http_call_options opts = To("/");
  opts.method = http_method::kPost;
  opts.body = std::string(1001, 'x');
  EXPECT_EQ(Call(opts).head.status, 413U);
}

TEST_F(http_test, OversizedHeadersAreAnswered431) {
  handler_.serve = [](const auto&) { ADD_FAILURE() << "must not be served"; };
  http_call_options opts = To("/");
  opts.headers = {{.name = "X-Long", .value = std::string(2100, 'x')}};
  EXPECT_EQ(Call(opts).head.status, 431U);
}

TEST_F(http_test, ReportsCallerDisconnect) {
  bool closed = false;
  std::shared_ptr<http_exchange> held;
  handler_.serve = [&](const std::shared_ptr<http_exchange>& exchange) {
    held = exchange;
    exchange->BeginStream(200, "text/plain");
    exchange->SendChunk("x");
    exchange->SetOnClosed([&] {
      closed = true;
      event_base_loopbreak(base_);
    });
  };
  recording_handler result(base_);
  std::unique_ptr<http_call> call = client_->Start(To("/"), result);
  result.on_data = [&] { CallLater(base_, [&] { call.reset(); }); };
  event_base_dispatch(base_);
  EXPECT_TRUE(closed);
  EXPECT_TRUE(held->IsClosed());
  held->SendChunk("nobody reads this");
}

// Without a pause, an upstream that is read faster than a slow caller reads
// makes the daemon buffer the whole stream.
TEST_F(http_test, PausedCallIsNotRead) {
  std::shared_ptr<http_exchange> held;
  handler_.serve = [&](const std::shared_ptr<http_exchange>& exchange) {
    held = exchange;
    exchange->BeginStream(200, "text/plain");
    exchange->SendChunk("first");
  };
  recording_handler result(base_);
  const std::unique_ptr<http_call> call = client_->Start(To("/"), result);
  result.on_data = [&] { event_base_loopbreak(base_); };
  event_base_dispatch(base_);
  call->PauseReading();
  const std::string piece(1 << 16, 'x');
  for (int i = 0; i < 400; ++i) {
    held->SendChunk(piece);
    event_base_loop(base_, EVLOOP_NONBLOCK);
  }
  EXPECT_EQ(result.body, "first");
  EXPECT_GT(held->PendingBytes(), 1U << 20);
  result.on_data = nullptr;
  call->ResumeReading();
  held->EndStream();
  event_base_dispatch(base_);
  EXPECT_EQ(result.body.size(), 5 + 400 * piece.size());
}

// Guards against a graceful stop that loses the end of a response.
TEST_F(http_test, FlushWritesResponsesThatHaveEnded) {
  const std::string piece(1 << 16, 'x');
  constexpr int kPieces = 400;
  handler_.serve = [&](const std::shared_ptr<http_exchange>& exchange) {
    exchange->BeginStream(200, "text/plain");
    for (int i = 0; i < kPieces; ++i) {
      exchange->SendChunk(piece);
    }
    exchange->EndStream();
    event_base_loopbreak(base_);
  };
  recording_handler result(base_);
  const std::unique_ptr<http_call> call = client_->Start(To("/"), result);
  event_base_dispatch(base_);
  ASSERT_FALSE(result.ended);
  server_->Flush(std::chrono::seconds(5));
  server_.reset();
  if (!result.ended) {
    event_base_dispatch(base_);
  }
  EXPECT_EQ(result.end, http_result::kComplete);
  EXPECT_EQ(result.body.size(), kPieces * piece.size());
  server_ = std::make_unique<http_server>(
      base_, http_server::options{.listen = {"127.0.0.1", 0}}, handler_);
}

TEST_F(http_test, PortInUseIsAnError) {
  try {
    http_server second(base_, {.listen = server_->Address()}, handler_);
    FAIL() << "two servers listen on one port";
  } catch (const bind_error& error) {
    EXPECT_NE(std::string(error.what()).find(server_->Address().ToString()),
              std::string::npos);
  }
}

}  // namespace
}  // namespace cuminswitch
