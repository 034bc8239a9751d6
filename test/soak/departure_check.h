/// \file
/// Checks that daemons stop sending requests to an upstream whose store entry
/// is draining or removed.
#ifndef CUMINSWITCH_TEST_SOAK_DEPARTURE_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_DEPARTURE_CHECK_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "soak/steady_time.h"

namespace cuminswitch::soak {

/// Compares the arrival times of requests at departed upstreams with the time
/// at which the store acknowledged the departure.
class departure_check {
 public:
  /// Records that the store acknowledged the departure of \p upstream at \p at.
  /// A later acknowledgement replaces an earlier one, since the write that was
  /// acknowledged first may have been undone.
  void OnAcknowledged(const std::string& upstream, steady_time at);
  /// Records that a request reached \p upstream at \p at. Returns a description
  /// of the violation if it arrived too late although the daemon that sent it
  /// had contact with the store.
  std::optional<std::string> OnArrival(const std::string& upstream,
                                       steady_time at,
                                       bool has_store_contact);
  /// Number of departures that the store has acknowledged.
  size_t counted() const { return acknowledged_.size(); }
  /// Number of requests that arrived too late, including those of daemons
  /// without contact with the store.
  size_t late() const { return late_; }

 private:
  std::map<std::string, steady_time> acknowledged_;
  size_t late_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_DEPARTURE_CHECK_H_
