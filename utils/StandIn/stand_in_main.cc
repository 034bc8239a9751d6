#include "StandIn/stand_in_main.h"

#include <event2/event.h>
#include <signal.h>

#include <iostream>
#include <optional>

#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

static constexpr size_t kMaxBody = 64UL << 20;

static std::unique_ptr<http_server> Listen(event_base* base,
                                           const std::string& listen,
                                           http_request_handler& handler) {
  const std::optional<endpoint> address = ParseEndpoint(listen);
  if (!address) {
    throw usage_error("not a numeric address:port: " + listen);
  }
  return std::make_unique<http_server>(
      base,
      http_server::options{.listen = *address,
                           .max_body_size = kMaxBody,
                           .read_timeout = std::chrono::hours(1),
                           .write_timeout = std::chrono::hours(1)},
      handler);
}

int RunStandIn(const std::string& listen,
               const handler_factory& make_handler,
               const std::string& second_listen) {
  signal(SIGPIPE, SIG_IGN);
  event_base* base = event_base_new();
  const auto stop = [](evutil_socket_t /*signal*/, short /*what*/, void* raw) {
    event_base_loopbreak(static_cast<event_base*>(raw));
  };
  event* terminate = evsignal_new(base, SIGTERM, stop, base);
  event* interrupt = evsignal_new(base, SIGINT, stop, base);
  event_add(terminate, nullptr);
  event_add(interrupt, nullptr);
  {
    const std::unique_ptr<http_request_handler> handler = make_handler(base);
    const auto server = Listen(base, listen, *handler);
    std::unique_ptr<http_server> second_server;
    if (!second_listen.empty()) {
      second_server = Listen(base, second_listen, *handler);
      std::cout << "also listening on " << second_server->Address().ToString()
                << std::endl;
    }
    std::cout << "listening on " << server->Address().ToString() << std::endl;
    event_base_dispatch(base);
  }
  event_free(terminate);
  event_free(interrupt);
  event_base_free(base);
  return 0;
}

}  // namespace cuminswitch
