/// \file
/// Leave to send a request to an upstream that takes only so many a second. The
/// structs are one family and share this header.
#ifndef CUMINSWITCH_PROTOCOL_SEND_PERMIT_H_
#define CUMINSWITCH_PROTOCOL_SEND_PERMIT_H_

#include <cstdint>

#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// May the request be sent to the upstream, within what the upstream takes from
/// all daemons together?
struct permit_request {
  request_id request = 0;
  /// Hash of the upstream's name.
  uint64_t upstream = 0;
  /// Requests a second that it takes, and since when that is known.
  double rate = 0;
  duration limit_age{0};
  /// Nothing else has room for it, so that it waits for its turn there.
  bool waits = false;
};

/// The answer to a `permit_request`.
struct permit_reply {
  request_id request = 0;
  uint64_t upstream = 0;
  bool is_granted = false;
  /// When this daemon's turn at the upstream comes.
  duration retry_after{0};
};

/// A permit that was granted and is not used.
struct permit_return {
  uint64_t upstream = 0;
  double rate = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_SEND_PERMIT_H_
