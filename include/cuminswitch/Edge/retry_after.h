/// \file
/// The field that tells a caller when to come back.
#ifndef CUMINSWITCH_EDGE_RETRY_AFTER_H_
#define CUMINSWITCH_EDGE_RETRY_AFTER_H_

#include "cuminswitch/Net/http_header.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Returns `Retry-After` with \p wait in seconds, to the hundredth.
http_header RetryAfter(duration wait);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_RETRY_AFTER_H_
