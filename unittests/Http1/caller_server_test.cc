// Responses of the caller server to raw input.
#include "cuminswitch/Http1/caller_server.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

#include "cuminswitch/Http1/caller_connection_end.h"
#include "cuminswitch/Http1/caller_exchange.h"
#include "loopback.h"

namespace cuminswitch {
namespace {

class recording_listener : public caller_listener {
 public:
  void OnCallerDisconnected() override { disconnected = true; }
  void OnCallerDrained() override {}
  bool disconnected = false;
};

constexpr size_t kMemoryLimit = 100'000;
constexpr int kReceiveBuffer = 32 << 10;
/// Returns the allocated memory in bytes.
size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// More than the kernel buffers for a connection.
constexpr size_t kLargeBodySize = 12 << 20;

class caller_server_test : public testing::Test, public caller_handler {
 protected:
  caller_server_test()
      : base_(event_base_new()),
        server_(base_, {"127.0.0.1", 0}, *this, &account_) {
    server_.SetLimits({.max_head_size = 2000,
                       .max_body_size = 1000,
                       .request_timeout = std::chrono::milliseconds(60),
                       .idle_timeout = std::chrono::milliseconds(150)});
  }

  void OnRequest(caller_exchange& exchange) override {
    targets_.push_back(exchange.Head().target);
    if (keeps_bodies_) {
      bodies_.push_back(exchange.Body());
    }
    if (aborts_) {
      exchange.Abort();
      return;
    }
    if (holds_) {
      held_ = &exchange;
      exchange.SetListener(&listener_);
      return;
    }
    Reply(exchange, 200, {},
          large_body_.empty() ? exchange.Head().target : large_body_, false);
  }

  /// Sends \p data and reads the response slowly for longer than an idle or a
  /// closing connection is kept, then completely.
  std::string SendAndReceiveSlowly(const std::string& data) {
    // Each waits for a millisecond or more.
    constexpr int kSlowRounds = 700;
    constexpr size_t kReadSize = 4 << 10;
    server_.SetLimits({.idle_timeout = std::chrono::milliseconds(300)});
    large_body_.assign(kLargeBodySize, 'x');
    raw_socket caller(raw_socket::Connect(server_.Address(), kReceiveBuffer));
    caller.Send(data);
    int rounds = 0;
    RunUntil(base_, [&] {
      caller.PollSome(kReadSize);
      return caller.ended || ++rounds == kSlowRounds;
    });
    RunUntil(base_, [&] {
      caller.Poll();
      return caller.ended || caller.received.size() > kLargeBodySize;
    });
    return caller.received;
  }

  void OnConnectionCut(const caller_connection_end& end) override {
    cuts_.emplace_back(ToString(end.cause));
    last_cut_ = end;
    last_cut_request_ = end.last_request;
  }

  /// Connects a caller whose request is held, and names the request.
  std::unique_ptr<raw_socket> HoldRequest() {
    holds_ = true;
    auto caller =
        std::make_unique<raw_socket>(raw_socket::Connect(server_.Address()));
    caller->Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(RunUntil(base_, [&] { return held_ != nullptr; }));
    held_->SetRequestId("id-1");
    return caller;
  }

  /// Sends \p data and returns all received bytes once they contain \p end or
  /// the connection is closed.
  std::string SendAndReceive(raw_socket& caller,
                             const std::string& data,
                             const std::string& end) {
    caller.Send(data);
    RunUntil(base_, [&] {
      caller.Poll();
      return caller.ended || caller.received.find(end) != std::string::npos;
    });
    return caller.received;
  }

  event_base* base_;
  byte_account account_{kMemoryLimit};
  caller_server server_;
  std::vector<std::string> targets_;
  std::vector<std::string> bodies_;
  bool keeps_bodies_ = true;
  bool holds_ = false;
  bool aborts_ = false;
  std::string large_body_;
  caller_exchange* held_ = nullptr;
  recording_listener listener_;
  std::vector<std::string> cuts_;
  caller_connection_end last_cut_;
  std::string last_cut_request_;
};

// If bytes after the first request were discarded, a caller that pipelines
// requests in one segment would wait for ever.
TEST_F(caller_server_test, AnswersPipelinedRequestsInOrder) {
  raw_socket caller(raw_socket::Connect(server_.Address()));
  const std::string reply = SendAndReceive(
      caller,
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
      "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n",
      "/3");
  EXPECT_LT(reply.find("/1"), reply.find("/2"));
  EXPECT_LT(reply.find("/2"), reply.find("/3"));
  EXPECT_EQ(bodies_[1], "ab");
  EXPECT_FALSE(caller.ended);
}

TEST_F(caller_server_test, RejectsInvalidRequestsAndCloses) {
  struct row {
    std::string sent;
    std::string status;
  };
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  for (const row& item : std::vector<row>{
           {"GET /" + std::string(2500, 'a'), "431"},
           {start + "Content-Length: +5\r\n\r\n", "400"},
           {start + "Content-Length: 5, 5\r\n\r\n", "400"},
           {start + "Name: a\r\n folded\r\n\r\n", "400"},
           {"GET /a HTTP/1.1\nHost: h\n\n", "400"},
           {"garbage\r\n\r\n", "400"},
           {start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "400"},
           {start + "Transfer-Encoding: gzip\r\n\r\n", "400"},
           {start + "Transfer-Encoding: chunked\r\n\r\n12345678901234567\r\n",
            "400"},
           {"GET /a HTTP/1.1\r\n\r\n", "400"},
           {start + "Content-Length: 1001\r\n\r\n", "413"},
       }) {
    raw_socket caller(raw_socket::Connect(server_.Address()));
    const std::string reply = SendAndReceive(caller, item.sent, "never");
    EXPECT_TRUE(reply.starts_with("HTTP/1.1 " + item.status)) << item.sent;
    EXPECT_NE(reply.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(caller.ended) << item.sent;
  }
  EXPECT_TRUE(targets_.empty()) << "no input is a valid request";
}

TEST_F(caller_server_test, AnswersSlowHeadWith408) {
  raw_socket caller(raw_socket::Connect(server_.Address()));
  EXPECT_TRUE(
      SendAndReceive(caller, "GET /a HT", "never").starts_with("HTTP/1.1 408"));
  EXPECT_TRUE(caller.ended);
}

TEST_F(caller_server_test, ClosesIdleConnectionWithoutResponse) {
  raw_socket caller(raw_socket::Connect(server_.Address()));
  EXPECT_EQ(SendAndReceive(caller, "", "never"), "");
  EXPECT_TRUE(caller.ended);
}

TEST_F(caller_server_test, AnswersExpectContinue) {
  raw_socket caller(raw_socket::Connect(server_.Address()));
  EXPECT_TRUE(
      SendAndReceive(caller,
                     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                     "Expect: 100-continue\r\n\r\n",
                     "Continue")
          .starts_with("HTTP/1.1 100"));
  EXPECT_NE(SendAndReceive(caller, "ab", "/a").find("HTTP/1.1 200"),
            std::string::npos);
}

// The caller's connection must be monitored while its response is being
// produced, or an upstream keeps working for a caller that has disconnected.
TEST_F(caller_server_test, ReportsCallerDisconnect) {
  holds_ = true;
  {
    raw_socket caller(raw_socket::Connect(server_.Address()));
    caller.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(RunUntil(base_, [&] { return held_ != nullptr; }));
  }
  EXPECT_TRUE(RunUntil(base_, [&] { return listener_.disconnected; }));
}

// Guards against losing the last bytes of a response when a host is restarted.
// The head is sent, the server begins to drain, the response ends, and idle
// connections are closed in the same iteration of the event loop. The
// connection counted as idle with the end of the response still to be written,
// since its head had not announced the close.
TEST_F(caller_server_test, DeliversCompleteResponseThatEndsWhileDraining) {
  holds_ = true;
  raw_socket caller(raw_socket::Connect(server_.Address()));
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(base_, [&] { return held_ != nullptr; }));
  held_->SendHead(200, {}, {});
  server_.BeginDrain();
  held_->SendBody("last");
  held_->SetListener(nullptr);
  held_->Finish();
  server_.CloseIdle();
  EXPECT_EQ(server_.connection_count(), 1U)
      << "the caller has not received the response yet";
  const std::string reply = SendAndReceive(caller, "", "never");
  EXPECT_TRUE(reply.ends_with("4\r\nlast\r\n0\r\n\r\n"));
  EXPECT_TRUE(caller.ended);
}

// Guards against truncating the response of a caller that reads slowly, when
// the connection is closed behind it.
TEST_F(caller_server_test, SlowReaderGetsWholeResponseBeforeClose) {
  const std::string reply = SendAndReceiveSlowly(
      "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 200"));
  EXPECT_GT(reply.size(), kLargeBodySize);
}

// Guards against the idle time limit, which ran while the response was still
// being sent, and truncated it.
TEST_F(caller_server_test, SlowReaderGetsWholeResponseBeyondIdleTimeout) {
  const std::string reply =
      SendAndReceiveSlowly("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 200"));
  EXPECT_GT(reply.size(), kLargeBodySize);
}

// Guards against a caller that never reads its response and keeps its
// connection, and the memory for the response, for ever.
TEST_F(caller_server_test, DropsClosingConnectionWhoseCallerStopsReading) {
  large_body_.assign(kLargeBodySize, 'x');
  raw_socket caller(raw_socket::Connect(server_.Address(), kReceiveBuffer));
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  ASSERT_TRUE(RunUntil(base_, [&] { return !targets_.empty(); }));
  EXPECT_TRUE(RunUntil(base_, [&] { return server_.connection_count() == 0; }));
}

// Guards against closing a connection as idle whose next request is already in
// the kernel: it was reset without a response.
TEST_F(caller_server_test, AnswersRequestThatArrivedBeforeIdleClose) {
  server_.SetLimits({.idle_timeout = std::chrono::seconds(30)});
  raw_socket caller(raw_socket::Connect(server_.Address()));
  ASSERT_TRUE(RunUntil(base_, [&] { return server_.connection_count() == 1; }));
  server_.BeginDrain();
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  server_.CloseIdle();
  const std::string reply = SendAndReceive(caller, "", "never");
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 200")) << reply;
  EXPECT_FALSE(caller.was_reset);
  EXPECT_TRUE(caller.ended);
}

// Guards against connections that wait unread until the process exits.
TEST_F(caller_server_test, ReadsWaitingConnectionsAndRefusesLaterOnes) {
  raw_socket waiting(raw_socket::Connect(server_.Address()));
  const endpoint address = server_.Address();
  server_.BeginDrain();
  server_.CloseIdle();
  server_.StopListening();
  const std::string reply =
      SendAndReceive(waiting, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", "/1");
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 200")) << reply;
  raw_socket late(raw_socket::Connect(address));
  EXPECT_TRUE(RunUntil(base_, [&] {
    late.Poll();
    return late.ended;
  }));
  EXPECT_EQ(server_.accepted_count(), 1U);
}

// Guards against discarding a request that was read while the response before
// it, whose head did not announce the close, was being sent.
TEST_F(caller_server_test, AnswersRequestReadBeforeUnannouncedClose) {
  holds_ = true;
  raw_socket caller(raw_socket::Connect(server_.Address()));
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(base_, [&] { return held_ != nullptr; }));
  held_->SendHead(200, {}, {});
  caller.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil(base_, [&] {
    caller.Poll();
    return !caller.received.empty();
  });
  server_.BeginDrain();
  holds_ = false;
  held_->SetListener(nullptr);
  held_->Finish();
  const std::string reply = SendAndReceive(caller, "", "never");
  EXPECT_EQ(targets_.size(), 2U);
  EXPECT_NE(reply.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(reply.ends_with("/2"));
  EXPECT_TRUE(caller.ended);
}

// Aborting a response must deliver the events already buffered, but no last
// chunk. Events and the loss of the upstream's connection are read in one
// iteration of the event loop, the events are written and the response is
// aborted. Bytes not yet passed to the kernel were dropped with the connection,
// so the caller got a closed connection without events.
TEST_F(caller_server_test, AbortDeliversBufferedBody) {
  holds_ = true;
  raw_socket caller(raw_socket::Connect(server_.Address()));
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(base_, [&] { return held_ != nullptr; }));
  held_->SendHead(200, {}, {});
  held_->SendBody("event");
  held_->SetListener(nullptr);
  held_->Abort();
  const std::string reply = SendAndReceive(caller, "", "never");
  EXPECT_NE(reply.find("5\r\nevent\r\n"), std::string::npos);
  EXPECT_EQ(reply.find("0\r\n\r\n"), std::string::npos);
  EXPECT_TRUE(caller.ended);
}

using names = std::vector<std::string>;

// Guards against a response that is dropped at the linger timeout while its
// request counts as answered.
TEST_F(caller_server_test, ReportsResponseUnsentAtLingerTimeout) {
  server_.SetLimits({.idle_timeout = std::chrono::milliseconds(300)});
  const auto caller = HoldRequest();
  held_->SetListener(nullptr);
  Reply(*held_, 200, {}, std::string(32UL << 20, 'x'), true);
  ASSERT_TRUE(RunUntil(base_, [&] { return !cuts_.empty(); }));
  EXPECT_EQ(cuts_, names{"linger_timeout"});
  EXPECT_GT(last_cut_.unsent_bytes, 0U);
  EXPECT_EQ(last_cut_request_, "id-1");
}

// Guards against a request that is discarded without a trace, since it arrived
// on a connection that was about to close.
TEST_F(caller_server_test, ReportsRequestDiscardedAfterLastResponse) {
  const auto caller = HoldRequest();
  held_->SetListener(nullptr);
  Reply(*held_, 200, {}, "a", true);
  caller->Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  SendAndReceive(*caller, "", "never");
  caller->Close();
  ASSERT_TRUE(RunUntil(base_, [&] { return !cuts_.empty(); }));
  EXPECT_EQ(last_cut_.unread_bytes, 28U);
  EXPECT_EQ(last_cut_.unsent_bytes, 0U);
}

TEST_F(caller_server_test, ReportsBytesLeftInBufferAndSocket) {
  constexpr size_t kUnread = 20'000;
  aborts_ = true;
  raw_socket caller(raw_socket::Connect(server_.Address()));
  caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(kUnread, 'x'));
  ASSERT_TRUE(RunUntil(base_, [&] { return !cuts_.empty(); }));
  EXPECT_EQ(cuts_, names{"aborted"});
  EXPECT_EQ(last_cut_.unread_bytes, kUnread);
}

TEST_F(caller_server_test, ReportsCallerThatLeavesInsideRequest) {
  raw_socket caller(raw_socket::Connect(server_.Address()));
  caller.Send("GET /1 HT");
  RunUntil(base_, [&] { return server_.connection_count() == 1; });
  caller.Close();
  ASSERT_TRUE(RunUntil(base_, [&] { return !cuts_.empty(); }));
  EXPECT_EQ(cuts_, names{"caller_closed"});
  EXPECT_TRUE(last_cut_.is_request_open);
  EXPECT_EQ(last_cut_request_, "");
}

TEST_F(caller_server_test, ReportsResponseInProgressWhenStopped) {
  const auto caller = HoldRequest();
  server_.ReportOpen();
  EXPECT_EQ(cuts_, names{"stopped"});
  EXPECT_TRUE(last_cut_.is_request_open);
}

// Guards against a log that is filled by connections that ended as they should.
TEST_F(caller_server_test, DoesNotReportOrdinaryEnds) {
  raw_socket idle(raw_socket::Connect(server_.Address()));
  SendAndReceive(idle, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", "never");
  EXPECT_TRUE(idle.ended);
  raw_socket rejected(raw_socket::Connect(server_.Address()));
  SendAndReceive(rejected, "garbage\r\n\r\nand more", "never");
  rejected.Close();
  { const auto gone = HoldRequest(); }
  EXPECT_TRUE(RunUntil(base_, [&] { return listener_.disconnected; }));
  EXPECT_TRUE(RunUntil(base_, [&] { return server_.connection_count() == 0; }));
  EXPECT_EQ(cuts_, names{});
}

// Guards against a caller taking a truncated response for a complete one.
TEST_F(caller_server_test, AbortedResponseHasNoLastChunk) {
  holds_ = true;
  raw_socket caller(raw_socket::Connect(server_.Address()));
  caller.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(base_, [&] { return held_ != nullptr; }));
  held_->SendHead(200, {}, {});
  held_->SendBody("abc");
  RunUntil(base_, [&] { return held_->PendingBytes() == 0; });
  held_->Abort();
  RunUntil(base_, [&] {
    caller.Poll();
    return caller.ended;
  });
  EXPECT_NE(caller.received.find("3\r\nabc"), std::string::npos);
  EXPECT_EQ(caller.received.find("0\r\n\r\n"), std::string::npos);
}

// Guards against framing that a caller takes for the next response's first
// bytes.
TEST_F(caller_server_test, ResponseWithoutContentHasNoFraming) {
  const auto caller = HoldRequest();
  held_->SendHead(204, {}, {});
  held_->Finish();
  holds_ = false;
  const std::string received = SendAndReceive(
      *caller, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n/2");
  EXPECT_TRUE(received.starts_with(
      "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n"))
      << received;
}

TEST_F(caller_server_test, DrainingServerRespondsWithConnectionClose) {
  server_.BeginDrain();
  raw_socket caller(raw_socket::Connect(server_.Address()));
  const std::string reply =
      SendAndReceive(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "never");
  EXPECT_TRUE(reply.starts_with("HTTP/1.1 200"));
  EXPECT_NE(reply.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(caller.ended);
}

// Hundreds of callers that send large bodies a few bytes at a time could
// exhaust the memory of a small host, so that the daemon is killed. With the
// memory limit they are refused, and other callers' requests still succeed.
/// Sends a request with a large body and reads the first byte of its response.
void SendLarge(event_base* base, raw_socket& caller) {
  constexpr size_t kBodySize = 1 << 20;
  const std::string request =
      "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
      std::to_string(kBodySize) + "\r\n\r\n" + std::string(kBodySize, 'x');
  size_t sent = 0;
  ASSERT_TRUE(RunUntil(base, [&] {
    sent += caller.Send(request.substr(sent));
    caller.Poll();
    return !caller.received.empty();
  }));
}

// Guards against idle connections that keep the memory of their largest
// request, and against refused requests that do.
TEST_F(caller_server_test, ConnectionsKeepNoMemoryOfBodies) {
  constexpr int kConnections = 24;
  constexpr size_t kMaxKept = 4UL << 20;
  keeps_bodies_ = false;
  for (const size_t limit : {64UL << 20, 100UL << 10}) {
    byte_account account(limit);
    caller_server server(base_, {"127.0.0.1", 0}, *this, &account);
    std::vector<std::unique_ptr<raw_socket>> callers;
    const size_t before = AllocatedBytes();
    for (int i = 0; i < kConnections; ++i) {
      callers.push_back(
          std::make_unique<raw_socket>(raw_socket::Connect(server.Address())));
      SendLarge(base_, *callers.back());
    }
    EXPECT_LT(AllocatedBytes(), before + kMaxKept) << "limit " << limit;
    EXPECT_EQ(server.refused_count() > 0, limit < (1UL << 20));
  }
}

TEST_F(caller_server_test, SlowSendersLeaveMemoryForOtherRequests) {
  server_.SetLimits(
      {.max_body_size = 1 << 20, .request_timeout = std::chrono::seconds(5)});
  std::vector<std::unique_ptr<raw_socket>> slow;
  const std::string part(30'000, 'x');
  for (int i = 0; i < 40; ++i) {
    slow.push_back(
        std::make_unique<raw_socket>(raw_socket::Connect(server_.Address())));
    slow.back()->Send(
        "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: "
        "900000\r\n\r\n" +
        part);
  }
  RunUntil(base_, [&] { return server_.refused_count() >= 30; });
  EXPECT_LT(account_.held(), 2 * kMemoryLimit);
  size_t refused = 0;
  RunUntil(base_, [&] {
    refused = 0;
    for (const auto& caller : slow) {
      caller->Poll();
      refused += caller->received.find(" 503 ") != std::string::npos ? 1 : 0;
    }
    return refused == server_.refused_count();
  });
  EXPECT_NE(slow.back()->received.find("Retry-After: 1"), std::string::npos);
  raw_socket sound(raw_socket::Connect(server_.Address()));
  EXPECT_NE(
      SendAndReceive(
          sound,
          "POST /sound HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
          "/sound")
          .find(" 200 "),
      std::string::npos);
  slow.clear();
  RunUntil(base_, [&] { return server_.connection_count() == 1; });
  EXPECT_EQ(account_.held(), 0U);
}

}  // namespace
}  // namespace cuminswitch
