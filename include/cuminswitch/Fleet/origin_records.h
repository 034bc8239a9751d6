/// \file
/// Records, in the store, of the software versions at which streams began.
#ifndef CUMINSWITCH_FLEET_ORIGIN_RECORDS_H_
#define CUMINSWITCH_FLEET_ORIGIN_RECORDS_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/leased_writer.h"
#include "cuminswitch/Protocol/stream_origin.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class event_log;

/// Records the origins of the whole fleet's streams in batches, so that callers
/// can resume streams after all daemons were killed at once. Used by the
/// leader, for services with several software versions: with one, the version
/// is known without a record.
class origin_records {
 public:
  /// Interval between two batches. Streams that began within the last one are
  /// lost with the leader.
  static constexpr duration kInterval = std::chrono::milliseconds(100);

  /// \p prefix is the prefix of the keys; no other daemon may use it.
  origin_records(std::string prefix, item_store& store, event_log& log);

  void Add(std::span<const stream_origin> origins);
  /// Writes what was added since the last batch, if that is due.
  void OnTick(time_point now);
  bool HasPending() const { return !pending_.empty(); }

 private:
  std::string prefix_;
  event_log& log_;
  leased_writer writer_;
  std::vector<stream_origin> pending_;
  uint64_t next_number_ = 0;
  time_point next_write_{};
  bool is_writing_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ORIGIN_RECORDS_H_
