/// \file
/// The record, in the store, of the limits that upstreams advertise.
#ifndef CUMINSWITCH_FLEET_LIMIT_RECORDS_H_
#define CUMINSWITCH_FLEET_LIMIT_RECORDS_H_

#include <string>

#include "cuminswitch/Fleet/leased_writer.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class event_log;

/// How long the record of the limits exists after it was written.
inline constexpr duration kLimitRecordLifetime = std::chrono::seconds(10);

/// Records the advertised limits, so that daemons which start obey them before
/// an upstream or a peer has told them: after all daemons were killed at once,
/// each would send its requests without any limit. Used by the leader.
class limit_records {
 public:
  limit_records(std::string key, item_store& store, event_log& log);

  /// Writes \p known if it has changed, and periodically while it is not empty.
  void OnTick(time_point now, const limit_record_frame& known);

 private:
  std::string key_;
  event_log& log_;
  leased_writer writer_;
  /// What the last record states, without the ages.
  std::string written_;
  time_point next_change_{};
  time_point next_renewal_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_LIMIT_RECORDS_H_
