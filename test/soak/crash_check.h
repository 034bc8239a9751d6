/// \file
/// Whether a request that crashes upstreams is kept away from them.
#ifndef CUMINSWITCH_TEST_SOAK_CRASH_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_CRASH_CHECK_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "soak/wall_time.h"

namespace cuminswitch::soak {

/// Counts the upstreams that crashed under each request, whichever daemon sent
/// it. What daemons send that were disturbed is not counted.
class crash_check {
 public:
  /// An upstream crashed under \p request. Returns what is wrong, if it is one
  /// too many.
  std::optional<std::string> OnCrash(const std::string& request,
                                     bool is_daemon_sound,
                                     wall_time at);
  size_t counted() const { return counted_; }

 private:
  struct crash_count {
    int crashes = 0;
    wall_time third{};
    int late = 0;
  };

  std::map<std::string, crash_count> crashes_;
  size_t counted_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_CRASH_CHECK_H_
