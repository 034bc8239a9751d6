/// \file
/// The response header that tells a caller when to retry.
#ifndef CUMINSWITCH_EDGE_RETRY_AFTER_H_
#define CUMINSWITCH_EDGE_RETRY_AFTER_H_

#include "cuminswitch/Net/http_header.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Returns `Retry-After` with \p wait in seconds, rounded to hundredths.
http_header RetryAfter(duration wait);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_RETRY_AFTER_H_
