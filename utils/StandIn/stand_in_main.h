// What the stand-in programs share: one event loop, one HTTP server, and a
// line on standard output that says where it listens.
#ifndef CUMINSWITCH_UTILS_STANDIN_STAND_IN_MAIN_H_
#define CUMINSWITCH_UTILS_STANDIN_STAND_IN_MAIN_H_

#include <functional>
#include <memory>
#include <string>

#include "cuminswitch/Net/http_server.h"

namespace cuminswitch {

/// Makes the program's handler on the loop that it will run on.
using handler_factory =
    std::function<std::unique_ptr<http_request_handler>(event_base*)>;

/// Serves \p listen until SIGTERM or SIGINT; prints `listening on
/// <address:port>` first, so port 0 can be used. Serves \p second as well, if
/// it is not empty, and prints `also listening on <address:port>` before that.
/// Returns the exit status.
int RunStandIn(const std::string& listen,
               const handler_factory& make_handler,
               const std::string& second = {});

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_STANDIN_STAND_IN_MAIN_H_
