/// \file
/// A response that waits for an upstream that can go on with it.
#ifndef CUMINSWITCH_PROTOCOL_POSTPONED_RESPONSE_H_
#define CUMINSWITCH_PROTOCOL_POSTPONED_RESPONSE_H_

#include <string>

#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// A response that has begun at its caller and cannot go on for now.
struct postponed_response {
  request_id request = 0;
  /// Why no upstream goes on with it now.
  std::string reason;
  /// Time until the next retry.
  duration retry_after{0};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_POSTPONED_RESPONSE_H_
