/// \file
/// The time that passes also while the host is suspended.
#ifndef CUMINSWITCH_FLEET_BOOT_CLOCK_H_
#define CUMINSWITCH_FLEET_BOOT_CLOCK_H_

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Reads CLOCK_BOOTTIME. A steady clock stands still while a host is suspended,
/// so leases and deadlines that ended meanwhile would look alive.
time_point ReadBootClock();

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_BOOT_CLOCK_H_
