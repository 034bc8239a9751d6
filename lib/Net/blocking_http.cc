#include "cuminswitch/Net/blocking_http.h"

#include <event2/event.h>

#include <memory>

#include "cuminswitch/Net/http_call.h"

namespace cuminswitch {
namespace {

struct base_deleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

/// Collects one response and stops the event loop at its end.
class buffering_handler : public http_call_handler {
 public:
  explicit buffering_handler(event_base* base) : base_(base) {}

  void OnHeaders(const http_response_head& head) override {
    response.head = head;
  }
  void OnData(std::string_view data) override { response.body += data; }
  void OnEnd(http_result result) override {
    response.end = result;
    event_base_loopbreak(base_);
  }

  blocking_response response;

 private:
  event_base* base_;
};

}  // namespace

blocking_response FetchBlocking(const http_call_options& opts) {
  const std::unique_ptr<event_base, base_deleter> base(event_base_new());
  buffering_handler handler(base.get());
  {
    http_client client(base.get());
    http_call_options own_connection = opts;
    own_connection.fresh_connection = true;
    const std::unique_ptr<http_call> call =
        client.Start(own_connection, handler);
    event_base_dispatch(base.get());
    // Lets the event loop free the connection that the call returned.
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
  }
  return std::move(handler.response);
}

}  // namespace cuminswitch
