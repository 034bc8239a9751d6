/// \file
/// One HTTP call that is waited for; for command-line tools.
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

/// Makes the call on a loop of its own and returns when it has ended.
blocking_response FetchBlocking(const http_call_options& opts);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_BLOCKING_HTTP_H_
