/// \file
/// The monotonic clock, which the soak shares with its stand-ins: processes of
/// one machine read the same time.
#ifndef CUMINSWITCH_TEST_SOAK_STEADY_TIME_H_
#define CUMINSWITCH_TEST_SOAK_STEADY_TIME_H_

#include <chrono>

namespace cuminswitch::soak {

using steady_time = std::chrono::steady_clock::time_point;

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_STEADY_TIME_H_
