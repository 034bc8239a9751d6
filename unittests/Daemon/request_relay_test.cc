#include "cuminswitch/Daemon/request_relay.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "cuminswitch/Net/http_call.h"
#include "cuminswitch/Net/http_exchange.h"
#include "cuminswitch/Net/http_server.h"

namespace cuminswitch {
namespace {

constexpr size_t kPieces = 2000;

/// Acts both as the upstream (`/v1/chat/completions`) and as the daemon that
/// relays a caller's request (`/relay`) to it.
class request_relay_test : public testing::Test,
                           public http_request_handler,
                           public relay_observer,
                           public http_call_handler {
 protected:
  request_relay_test() : base_(event_base_new()) {
    client_ = std::make_unique<http_client>(base_);
    server_ = std::make_unique<http_server>(
        base_, http_server::options{.listen = {"127.0.0.1", 0}}, *this);
  }
  ~request_relay_test() override {
    relay_.reset();
    call_.reset();
    client_.reset();
    server_.reset();
    event_base_loop(base_, EVLOOP_NONBLOCK);
    event_base_free(base_);
  }

  void OnRequest(std::shared_ptr<http_exchange> exchange) override {
    if (exchange->Path() == "/relay") {
      Relay(std::move(exchange));
      return;
    }
    exchange->BeginStream(200, "text/event-stream");
    const std::string piece(10'000, 'x');
    for (size_t i = 0; i < kPieces; ++i) {
      exchange->SendChunk("data: " + piece + "\n\n");
    }
    if (sends_terminator_) {
      exchange->SendChunk("data: [DONE]\n\n");
    }
    exchange->EndStream();
  }

  void Relay(std::shared_ptr<http_exchange> caller) {
    relay_ = std::make_unique<request_relay>(
        request_relay::options{.request = 1,
                               .workspace = "w",
                               .caller = std::move(caller),
                               .path = "/v1/chat/completions"},
        *this);
    relay_->Dispatch({.request = 1,
                      .attempt = 7,
                      .upstream = "u",
                      .address = server_->Address()},
                     *client_);
  }

  // relay_observer
  void OnRelayEvent(core_event event) override {
    events_.push_back(std::move(event));
  }
  void OnFirstToken(const request_relay& /*relay*/) override {}
  void OnTokenGap(const request_relay& /*relay*/, double /*seconds*/) override {
  }
  void OnRelayDone(request_relay& /*relay*/, outcome result) override {
    result_ = result;
    relay_.reset();
  }

  // http_call_handler of the caller's own call
  void OnHeaders(const http_response_head& /*head*/) override {
    if (caller_is_slow_) {
      call_->PauseReading();
    }
  }
  void OnData(std::string_view data) override { body_ += data; }
  void OnEnd(http_result end) override {
    end_ = end;
    event_base_loopbreak(base_);
  }

  void Call() {
    call_ = client_->Start({.to = server_->Address(), .path = "/relay"}, *this);
  }

  event_base* base_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<http_server> server_;
  std::unique_ptr<request_relay> relay_;
  std::unique_ptr<http_call> call_;
  std::vector<core_event> events_;
  outcome result_ = outcome::kUnknown;
  std::string body_;
  http_result end_ = http_result::kBroken;
  bool caller_is_slow_ = false;
  bool sends_terminator_ = true;
};

TEST_F(request_relay_test, RelaysCompleteStream) {
  Call();
  event_base_dispatch(base_);
  EXPECT_EQ(end_, http_result::kComplete);
  EXPECT_EQ(result_, outcome::kAnswered);
  EXPECT_TRUE(body_.ends_with("data: [DONE]\n\n"));
  EXPECT_GT(body_.size(), kPieces * 10'000);
}

// The caller's exchange outlives the relay and must not keep its callback, or
// the daemon may crash: a caller stops reading, the relay sets the callback,
// the caller resumes, and the stream ends and the relay is destroyed while
// bytes are still pending.
TEST_F(request_relay_test, SlowCallerReadsLastBytesAfterRelayIsDestroyed) {
  caller_is_slow_ = true;
  Call();
  for (int i = 0; i < 300; ++i) {
    event_base_loop(base_, EVLOOP_NONBLOCK);
  }
  call_->ResumeReading();
  event_base_dispatch(base_);
  EXPECT_EQ(result_, outcome::kAnswered);
  EXPECT_TRUE(body_.ends_with("data: [DONE]\n\n"));
}

TEST_F(request_relay_test, StreamWithoutTerminatorIsReportedUnknown) {
  sends_terminator_ = false;
  Call();
  for (int i = 0; i < 2000 && events_.size() < 2; ++i) {
    event_base_loop(base_, EVLOOP_NONBLOCK);
  }
  ASSERT_EQ(events_.size(), 2U);
  const auto& ended = std::get<attempt_ended>(events_[1]);
  EXPECT_EQ(ended.attempt, 7U);
  EXPECT_EQ(ended.result, outcome::kUnknown);
  EXPECT_TRUE(ended.response_started);
  relay_->SendLocalResponse({.request = 1,
                             .result = outcome::kUnknown,
                             .status = 502,
                             .message = "broke off"});
  event_base_dispatch(base_);
  EXPECT_EQ(body_.find("[DONE]"), std::string::npos);
  EXPECT_NE(body_.find("event: error"), std::string::npos);
  EXPECT_NE(body_.find("\"outcome\":\"unknown\""), std::string::npos);
}

}  // namespace
}  // namespace cuminswitch
