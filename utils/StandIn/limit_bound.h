/// \file
/// What an upstream that names a limit may get.
#ifndef CUMINSWITCH_UTILS_STANDIN_LIMIT_BOUND_H_
#define CUMINSWITCH_UTILS_STANDIN_LIMIT_BOUND_H_

#include <chrono>

namespace cuminswitch {

/// Any span of this length counts.
inline constexpr std::chrono::seconds kLimitWindow{4};

/// Returns the requests that may come within `kLimitWindow` at an upstream that
/// takes \p rate a second: half as many again, and five.
constexpr double AllowedByLimit(double rate) {
  constexpr double kShare = 1.5;
  constexpr double kSlack = 5;
  return kShare * rate * static_cast<double>(kLimitWindow.count()) + kSlack;
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_STANDIN_LIMIT_BOUND_H_
