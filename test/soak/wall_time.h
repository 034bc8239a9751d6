/// \file
/// The clock that the soak and its stand-ins share.
#ifndef CUMINSWITCH_TEST_SOAK_WALL_TIME_H_
#define CUMINSWITCH_TEST_SOAK_WALL_TIME_H_

#include <chrono>

namespace cuminswitch::soak {

using wall_time = std::chrono::steady_clock::time_point;

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_WALL_TIME_H_
