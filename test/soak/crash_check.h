/// \file
/// Checks that a request that crashes upstreams is quarantined.
#ifndef CUMINSWITCH_TEST_SOAK_CRASH_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_CRASH_CHECK_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "soak/steady_time.h"

namespace cuminswitch::soak {

/// Counts the upstreams that each request has crashed, over all daemons. A
/// crash under a request of a daemon that a fault disturbs, or did shortly
/// before, is counted but never reported as a violation.
class crash_check {
 public:
  /// Records that \p request crashed an upstream at \p at. Returns a
  /// description of the violation if this is one crash more than allowed.
  std::optional<std::string> OnCrash(const std::string& request,
                                     bool is_daemon_undisturbed,
                                     steady_time at);
  /// Crashes recorded so far.
  size_t counted() const { return counted_; }

 private:
  struct crash_count {
    int crashes = 0;
    /// When the last allowed crash, the third, was recorded.
    steady_time third_at{};
    /// Crashes after the quarantine must have reached all daemons.
    int late = 0;
  };

  std::map<std::string, crash_count> crashes_;
  size_t counted_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_CRASH_CHECK_H_
