/// \file
/// What the parts of this package share about the store.
#ifndef CUMINSWITCH_LIB_FLEET_STORE_CONSTANTS_H_
#define CUMINSWITCH_LIB_FLEET_STORE_CONSTANTS_H_

#include <chrono>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// A daemon whose store answered within this time learns news from the store;
/// otherwise it asks a peer that knows more.
inline constexpr duration kStoreFresh = std::chrono::milliseconds(1400);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_FLEET_STORE_CONSTANTS_H_
