/// \file
/// The time types of the decision core. There is no `now()` on purpose: the
/// core gets the time with each event, so that tests control the clock.
#ifndef CUMINSWITCH_SUPPORT_TIME_H_
#define CUMINSWITCH_SUPPORT_TIME_H_

#include <chrono>

namespace cuminswitch {

/// A monotonic clock. Only the code around the decision core reads it.
struct core_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<core_clock, duration>;
  static constexpr bool is_steady = true;
};

using duration = core_clock::duration;
using time_point = core_clock::time_point;

/// Converts \p value to seconds.
constexpr double ToSeconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

/// Converts \p seconds to a duration, truncated to whole microseconds.
constexpr duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SUPPORT_TIME_H_
