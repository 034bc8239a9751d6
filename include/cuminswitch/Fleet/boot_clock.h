/// \file
/// A clock that also counts the time during which the host is suspended.
#ifndef CUMINSWITCH_FLEET_BOOT_CLOCK_H_
#define CUMINSWITCH_FLEET_BOOT_CLOCK_H_

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Reads CLOCK_BOOTTIME. CLOCK_MONOTONIC does not advance while the host is
/// suspended, so leases and deadlines that expired meanwhile would still appear
/// valid.
time_point ReadBootClock();

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_BOOT_CLOCK_H_
