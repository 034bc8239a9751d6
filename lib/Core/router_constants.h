/// \file
/// Constants that several source files of the request router use.
#ifndef CUMINSWITCH_LIB_CORE_ROUTER_CONSTANTS_H_
#define CUMINSWITCH_LIB_CORE_ROUTER_CONSTANTS_H_

#include <chrono>
#include <cstdint>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Retry-After if no upstream is available: crashed upstreams are replaced, and
/// ejected ones tried again, within about a second.
inline constexpr duration kUpstreamRetryAfter = std::chrono::milliseconds(500);

/// Number of upstreams that may refuse a request, beyond those that may run it.
/// Without a bound, one request that all refuse uses up the whole retry budget.
inline constexpr uint32_t kExtraArrivals = 2;

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_CORE_ROUTER_CONSTANTS_H_
