#include "cuminswitch/Net/peer_transport.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace cuminswitch {
namespace {

class counting_handler : public peer_frame_handler {
 public:
  explicit counting_handler(event_base* base) : base_(base) {}
  bool OnFrame(std::span<const uint8_t> frame) override {
    frames.emplace_back(frame.begin(), frame.end());
    if (frames.size() == wanted) {
      event_base_loopbreak(base_);
    }
    return accepts;
  }
  std::vector<std::string> frames;
  size_t wanted = 0;
  bool accepts = true;

 private:
  event_base* base_;
};

class peer_transport_test : public testing::Test {
 protected:
  peer_transport_test() : base_(event_base_new()), handler_(base_) {
    const peer_transport::options opts{.listen = {"127.0.0.1", 0}};
    a_ = std::make_unique<peer_transport>(base_, opts, handler_);
    b_ = std::make_unique<peer_transport>(base_, opts, handler_);
  }
  ~peer_transport_test() override {
    a_.reset();
    b_.reset();
    event_base_free(base_);
  }

  event_base* base_;
  counting_handler handler_;
  std::unique_ptr<peer_transport> a_;
  std::unique_ptr<peer_transport> b_;
};

TEST_F(peer_transport_test, DeliversCompleteFramesInOrder) {
  handler_.wanted = 200;
  for (size_t i = 0; i < 200; ++i) {
    a_->Send(b_->Address(),
             std::string(i * 97, static_cast<char>('a' + i % 26)));
  }
  event_base_dispatch(base_);
  ASSERT_EQ(handler_.frames.size(), 200U);
  for (size_t i = 0; i < 200; ++i) {
    EXPECT_EQ(handler_.frames[i].size(), i * 97);
  }
  EXPECT_EQ(a_->bytes_sent(), b_->bytes_received());
}

TEST_F(peer_transport_test, LaterFramesArriveAfterARejectedFrame) {
  handler_.wanted = 1;
  handler_.accepts = false;
  a_->Send(b_->Address(), "bad");
  event_base_dispatch(base_);
  handler_.accepts = true;
  // A later frame opens a new connection.
  for (int i = 0; i < 100 && handler_.frames.size() < 2; ++i) {
    event_base_loop(base_, EVLOOP_NONBLOCK);
    a_->Send(b_->Address(), "good");
    event_base_loop(base_, EVLOOP_ONCE);
  }
  EXPECT_GE(handler_.frames.size(), 2U);
}

TEST_F(peer_transport_test, SendsToClosedReceiverWithoutError) {
  const endpoint closed = b_->Address();
  b_.reset();
  for (int i = 0; i < 10; ++i) {
    a_->Send(closed, "lost");
    event_base_loop(base_, EVLOOP_NONBLOCK);
  }
}

}  // namespace
}  // namespace cuminswitch
