/// \file
/// Synchronous HTTP calls for command-line tools.
#ifndef CUMINSWITCH_NET_BLOCKING_HTTP_H_
#define CUMINSWITCH_NET_BLOCKING_HTTP_H_

#include <string>

#include "cuminswitch/Net/http_client.h"

namespace cuminswitch {

struct blocking_response {
  http_result end = http_result::kNotConnected;
  http_response_head head;
  std::string body;
};

/// Makes the call on an event loop of its own and blocks until it has ended.
blocking_response FetchBlocking(const http_call_options& opts);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_BLOCKING_HTTP_H_
