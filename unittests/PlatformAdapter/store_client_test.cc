// Reading the store page by page.
#include "platform/store_client.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Net/http_exchange.h"
#include "cuminswitch/Net/http_server.h"

namespace cuminswitch::platform {
namespace {

struct base_deleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

/// Serves two pages of one item each; the second one fails the first time.
class paged_store : public http_request_handler {
 public:
  void OnRequest(std::shared_ptr<http_exchange> exchange) override {
    ++pages_asked;
    const bool is_second = exchange->Parameter("after") == "a";
    if (is_second && !has_failed) {
      has_failed = true;
      exchange->Reply(503, "application/json", "");
      return;
    }
    const std::string key = is_second ? "b" : "a";
    exchange->Reply(200, "application/json",
                    R"({"items":[{"key":")" + key +
                        R"(","value":"dg==","rev":3}],"store-revision":)" +
                        (is_second ? "9" : "5") + R"(,"has-more":)" +
                        (is_second ? "false" : "true") + "}");
  }
  size_t pages_asked = 0;
  bool has_failed = false;
};

class store_client_test : public testing::Test {
 protected:
  store_client_test()
      : base_(event_base_new()),
        log_({}),
        server_(base_.get(),
                {.listen = {"127.0.0.1", 0},
                 .max_body_size = 1'000,
                 .max_header_size = 2'000},
                pages_),
        client_(base_.get(), server_.Address(), log_) {}

  store_items ReadAll() {
    store_items result;
    client_.ReadAll([&](const store_items& items) {
      result = items;
      event_base_loopbreak(base_.get());
    });
    event_base_dispatch(base_.get());
    return result;
  }

  std::unique_ptr<event_base, base_deleter> base_;
  event_log log_;
  paged_store pages_;
  http_server server_;
  store_client client_;
};

// Symptom: 30 s after all of 300 daemons were killed the fleet serves nobody.
// Sequence: all start at once; a page comes late on the store's full link, and
// its daemon reads anew from the first page on. Cause: pages that had come were
// thrown away, so that the link carried them again and again.
TEST_F(store_client_test, AReadGoesOnBehindTheLastPageThatCame) {
  EXPECT_EQ(ReadAll().status, store_status::kRefused);
  const store_items items = ReadAll();
  EXPECT_EQ(items.status, store_status::kDone);
  ASSERT_EQ(items.items.size(), 2U);
  EXPECT_EQ(items.items[0].key, "a");
  EXPECT_EQ(items.items[1].key, "b");
  // As of the first page: what changed since comes with the changes.
  EXPECT_EQ(items.revision, 5U);
  EXPECT_EQ(pages_.pages_asked, 3U);
}

TEST_F(store_client_test, AReadAfterAWholeOneBeginsAnew) {
  pages_.has_failed = true;
  EXPECT_EQ(ReadAll().items.size(), 2U);
  EXPECT_EQ(ReadAll().items.size(), 2U);
  EXPECT_EQ(pages_.pages_asked, 4U);
}

}  // namespace
}  // namespace cuminswitch::platform
