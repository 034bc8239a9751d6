/// \file
/// Permits to send a request to an upstream that limits requests per second.
#ifndef CUMINSWITCH_PROTOCOL_SEND_PERMIT_H_
#define CUMINSWITCH_PROTOCOL_SEND_PERMIT_H_

#include <cstdint>

#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Asks whether a request may be sent to an upstream within the rate limit that
/// the upstream sets for all daemons together.
struct permit_request {
  request_id request = 0;
  /// Hash of the upstream's name.
  uint64_t upstream = 0;
  /// Rate limit in requests per second, and the time since it was received.
  double rate = 0;
  duration limit_age{0};
  /// No other upstream has capacity for the request, so it waits for this
  /// daemon's send slot at this one.
  bool waits = false;
};

/// Reply to a `permit_request`.
struct permit_reply {
  request_id request = 0;
  uint64_t upstream = 0;
  bool is_granted = false;
  /// Time until this daemon's next send slot at the upstream.
  duration retry_after{0};
};

/// A permit that was granted and not used.
struct permit_return {
  uint64_t upstream = 0;
  double rate = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_SEND_PERMIT_H_
