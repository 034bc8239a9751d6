// Conversion of durations to libevent's time type.
#ifndef CUMINSWITCH_LIB_NET_TIMEVAL_H_
#define CUMINSWITCH_LIB_NET_TIMEVAL_H_

#include <sys/time.h>

#include <chrono>
#include <cstdint>

namespace cuminswitch {

inline timeval ToTimeval(std::chrono::microseconds value) {
  constexpr int64_t kMicrosPerSecond = 1'000'000;
  return {
      .tv_sec = static_cast<time_t>(value.count() / kMicrosPerSecond),
      .tv_usec = static_cast<suseconds_t>(value.count() % kMicrosPerSecond)};
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_NET_TIMEVAL_H_
