// Responses to the calls to the store, to engines and between daemons' tools
// that stop halfway, or never.
#include <event2/event.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "cuminswitch/Net/http_call.h"
#include "loopback.h"

namespace cuminswitch {
namespace {

class recording_handler : public http_call_handler {
 public:
  void OnHeaders(const http_response_head& /*head*/) override {}
  void OnData(std::string_view /*data*/) override {}
  void OnEnd(http_result value) override {
    result = value;
    has_ended = true;
  }
  http_result result = http_result::kNotConnected;
  bool has_ended = false;
};

// Guards against a response of which only a part arrived being used as whole.
TEST(truncated_call_test, NoPartOfAResponseIsComplete) {
  event_base* base = event_base_new();
  {
    http_client client(base);
    raw_listener server;
    for (const std::string text :
         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Name: v\r\n\r\nabcde",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "5\r\nabcde\r\n0\r\nX-Trailer: t\r\n\r\n"}) {
      for (size_t size = 1; size < text.size(); ++size) {
        recording_handler handler;
        const auto call = client.Start({.to = server.Address()}, handler);
        const auto connection = server.Accept(base);
        ASSERT_NE(connection, nullptr);
        RunUntil(base, [&] {
          connection->Poll();
          return !connection->received.empty();
        });
        connection->Send(text.substr(0, size));
        connection->Close();
        ASSERT_TRUE(RunUntil(base, [&] { return handler.has_ended; }));
        EXPECT_EQ(handler.result, http_result::kBroken) << text.substr(0, size);
      }
    }
  }
  event_base_free(base);
}

/// Sends \p head and then \p piece again and again until the call ends. Sets
/// \p sent, if given, to the number of bytes.
http_result SendWithoutEnd(const std::string& head,
                           const std::string& piece,
                           http_call_options opts,
                           size_t* sent = nullptr) {
  event_base* base = event_base_new();
  size_t size = 0;
  recording_handler handler;
  {
    http_client client(base);
    raw_listener server;
    opts.to = server.Address();
    const auto call = client.Start(opts, handler);
    const auto connection = server.Accept(base);
    connection->LimitSendBuffer();
    connection->Send(head);
    EXPECT_TRUE(RunUntil(base, [&] {
      size += connection->Send(piece);
      return handler.has_ended;
    }));
  }
  event_base_free(base);
  if (sent != nullptr) {
    *sent = size;
  }
  return handler.result;
}

// Guards against a daemon that exceeds its memory since an engine's report has
// no end, and against one that waits for its end for ever.
TEST(truncated_call_test, ResponseWithoutEndIsEnded) {
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  const std::string piece(4096, 'x');
  EXPECT_EQ(SendWithoutEnd(head, piece, {.max_body_size = 100'000}),
            http_result::kTooLarge);
  EXPECT_EQ(SendWithoutEnd("HTTP/1.1 200 OK\r\nX-Name: ", piece, {}),
            http_result::kBroken);
  EXPECT_EQ(SendWithoutEnd(head, "x",
                           {.total_timeout = std::chrono::milliseconds(1100)}),
            http_result::kBroken);
}

// Guards against a daemon that exceeds its memory since one line of an engine's
// report, which is no part of its body, has no end.
TEST(truncated_call_test, LineWithoutEndIsNotBuffered) {
  // More than the kernel and the reader buffer.
  constexpr size_t kMaxBuffered = 2UL << 20;
  const std::string piece(1UL << 20, 'x');
  for (const std::string line : {"5;x=", "5\r\nabcde\r\n0\r\nX-Trailer: "}) {
    size_t sent = 0;
    EXPECT_NE(
        SendWithoutEnd(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + line,
            piece,
            {.total_timeout = std::chrono::milliseconds(1000),
             .max_body_size = 100'000},
            &sent),
        http_result::kComplete);
    EXPECT_LT(sent, kMaxBuffered) << line;
  }
}

}  // namespace
}  // namespace cuminswitch
