/// \file
/// Store constants shared within this package.
#ifndef CUMINSWITCH_LIB_FLEET_STORE_CONSTANTS_H_
#define CUMINSWITCH_LIB_FLEET_STORE_CONSTANTS_H_

#include <chrono>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// A daemon that received a reply of the store within this time gets changes
/// from the store; otherwise it requests them from a peer with a newer
/// revision. Items that were last known to be complete longer ago are stale.
inline constexpr duration kStoreFresh = std::chrono::milliseconds(1400);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_FLEET_STORE_CONSTANTS_H_
