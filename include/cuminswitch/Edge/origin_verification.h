/// \file
/// Resumptions of streams whose origin no daemon knows.
#ifndef CUMINSWITCH_EDGE_ORIGIN_VERIFICATION_H_
#define CUMINSWITCH_EDGE_ORIGIN_VERIFICATION_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "cuminswitch/Edge/stream_origin_registry.h"
#include "cuminswitch/Fleet/fleet_message.h"
#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Lets resumptions wait until this daemon's items are known to be complete.
///
/// A stream of unknown origin may go on at the only version of its service. But
/// a daemon that was suspended or partitioned may not have heard of a further
/// version at which others have begun streams, and neither the age of its items
/// nor what peers report shows that in time. An upstream is listed in the store
/// before a stream can begin there, so the items must be complete as of a time
/// after the arrival of the resumption. Has no clock and does no I/O.
class origin_verification {
 public:
  /// A resumption whose wait has ended.
  struct verified {
    found_origin origin;
    /// The items are complete as of a time after the resumption's arrival.
    bool is_complete = false;
  };

  /// Lets the resumption \p origin, which arrived before \p now, wait.
  void Add(time_point now, const found_origin& origin);
  /// Drops the resumption \p request, if it waits.
  void Remove(request_id request);
  /// Returns whether a check of the items is to begin at \p now, which it then
  /// does. \p fleet_size is the number of daemons, which share the store's
  /// rate limit.
  bool BeginCheck(time_point now, size_t fleet_size);
  /// Ends the check in progress and the waits that it decides.
  std::vector<verified> OnChecked(const items_checked& check);
  /// Ends the waits that have lasted too long.
  std::vector<verified> TakeOverdue(time_point now);
  bool IsEmpty() const { return waiting_.empty(); }

 private:
  struct waiting {
    found_origin origin;
    time_point since{};
  };

  /// In the order of `since`.
  std::vector<waiting> waiting_;
  /// When the check in progress began.
  std::optional<time_point> checking_since_;
  time_point next_check_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_ORIGIN_VERIFICATION_H_
