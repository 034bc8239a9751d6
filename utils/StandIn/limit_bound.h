/// \file
/// Bound on the requests that an upstream with an advertised rate limit
/// receives.
#ifndef CUMINSWITCH_UTILS_STANDIN_LIMIT_BOUND_H_
#define CUMINSWITCH_UTILS_STANDIN_LIMIT_BOUND_H_

#include <chrono>

namespace cuminswitch {

/// Length of the sliding window to which the bound applies.
inline constexpr std::chrono::seconds kLimitWindow{4};

/// Returns the most requests that an upstream with a limit of \p rate requests
/// per second may receive within any `kLimitWindow`: one and a half times the
/// limit, plus five.
constexpr double AllowedByLimit(double rate) {
  constexpr double kShare = 1.5;
  constexpr double kSlack = 5;
  return kShare * rate * static_cast<double>(kLimitWindow.count()) + kSlack;
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_STANDIN_LIMIT_BOUND_H_
