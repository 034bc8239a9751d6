/// \file
/// What the parts of the request router share.
#ifndef CUMINSWITCH_LIB_CORE_ROUTER_CONSTANTS_H_
#define CUMINSWITCH_LIB_CORE_ROUTER_CONSTANTS_H_

#include <chrono>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// When to come back where no upstream can take a request: crashed ones are
/// replaced, and ejected ones tried again, within about a second.
inline constexpr duration kUpstreamRetryAfter = std::chrono::milliseconds(500);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_CORE_ROUTER_CONSTANTS_H_
