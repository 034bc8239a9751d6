#include "cuminswitch/Net/http_client.h"

#include <event2/event.h>
#include <event2/http.h>

#include "cuminswitch/Net/http_call.h"

namespace cuminswitch {

/// Largest number of idle connections pooled per address.
static constexpr size_t kMaxIdlePerAddress = 64;

http_client::http_client(event_base* base)
    : base_(base), alive_(std::make_shared<bool>(true)) {}

http_client::~http_client() {
  *alive_ = false;
  for (auto& [to, connections] : idle_) {
    for (evhttp_connection* connection : connections) {
      evhttp_connection_free(connection);
    }
  }
}

std::unique_ptr<http_call> http_client::Start(const http_call_options& opts,
                                              http_call_handler& handler) {
  return std::make_unique<http_call>(*this, opts, handler);
}

evhttp_connection* http_client::Acquire(const http_call_options& opts) {
  if (!opts.fresh_connection) {
    const auto found = idle_.find(opts.to);
    if (found != idle_.end() && !found->second.empty()) {
      evhttp_connection* connection = found->second.back();
      found->second.pop_back();
      return connection;
    }
  }
  return evhttp_connection_base_new(base_, nullptr, opts.to.address.c_str(),
                                    opts.to.port);
}

void http_client::ReturnToPool(const endpoint& to,
                               evhttp_connection* connection,
                               bool keep) {
  // evhttp still uses the connection after its callbacks return, so it is freed
  // or reused only from the event loop.
  CallLater(base_, [this, alive = alive_, to, connection, keep] {
    if (*alive && keep && idle_[to].size() < kMaxIdlePerAddress) {
      idle_[to].push_back(connection);
      return;
    }
    evhttp_connection_free(connection);
  });
}

}  // namespace cuminswitch
