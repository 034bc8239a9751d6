/// \file
/// Whether daemons heed that the store lists an upstream as draining, or no
/// more.
#ifndef CUMINSWITCH_TEST_SOAK_DEPARTURE_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_DEPARTURE_CHECK_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "soak/wall_time.h"

namespace cuminswitch::soak {

/// Holds the requests that upstreams get against the store's acknowledgements.
class departure_check {
 public:
  /// The store acknowledged at \p at that \p upstream departs. A later one of
  /// the same upstream counts, where an earlier write was undone.
  void OnAcknowledged(const std::string& upstream, wall_time at);
  /// A request reached \p upstream at \p at. Returns what is wrong, if
  /// anything is: the daemon that sent it must have been in touch.
  std::optional<std::string> OnArrival(const std::string& upstream,
                                       wall_time at,
                                       bool is_in_touch);
  /// Departures that the store has acknowledged.
  size_t counted() const { return acknowledged_.size(); }
  /// Requests that came too late, of all daemons.
  size_t late() const { return late_; }

 private:
  std::map<std::string, wall_time> acknowledged_;
  size_t late_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_DEPARTURE_CHECK_H_
