/// \file
/// Main loop of the stand-in programs: one event loop, an HTTP server, and a
/// line on standard output with the address it listens on.
#ifndef CUMINSWITCH_UTILS_STANDIN_STAND_IN_MAIN_H_
#define CUMINSWITCH_UTILS_STANDIN_STAND_IN_MAIN_H_

#include <functional>
#include <memory>
#include <string>

#include "cuminswitch/Net/http_server.h"

namespace cuminswitch {

/// Creates the program's request handler for the event loop that it runs on.
using handler_factory =
    std::function<std::unique_ptr<http_request_handler>(event_base*)>;

/// Serves \p listen until SIGTERM or SIGINT, and prints `listening on
/// <address:port>` once it does, so that port 0 can be used. If
/// \p second_listen is not empty, serves it as well and prints `also listening
/// on <address:port>` before the other line. Returns the exit status. Throws
/// `usage_error` when an address is not a numeric address:port.
int RunStandIn(const std::string& listen,
               const handler_factory& make_handler,
               const std::string& second_listen = {});

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_STANDIN_STAND_IN_MAIN_H_
