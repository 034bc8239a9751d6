/// \file
/// Stores at which software versions streams began.
#ifndef CUMINSWITCH_EDGE_STREAM_ORIGIN_TABLE_H_
#define CUMINSWITCH_EDGE_STREAM_ORIGIN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "cuminswitch/Protocol/stream_origin.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Holds a bounded number of origins, each until its stream can no longer be
/// resumed. When full, it drops the one that was added first.
class stream_origin_table {
 public:
  static constexpr size_t kMaxOrigins = 50'000;

  /// Adds \p origin. One of the same stream is replaced unless it has a greater
  /// number; its time is extended in any case.
  void Record(time_point now, const stream_origin& origin);
  /// Adds an origin that this daemon itself decided.
  void RecordOwn(time_point now, const stream_origin& origin);
  /// Whether no other daemon can know a later upstream of \p stream.
  bool IsFinal(uint64_t stream) const;
  /// Returns the origin of \p stream with the time that is left, if known.
  std::optional<stream_origin> Find(time_point now, uint64_t stream) const;
  /// Drops origins that have expired.
  void Expire(time_point now);
  size_t size() const { return origins_.size(); }

 private:
  struct entry {
    software_tag software = kAnySoftware;
    uint32_t number = 0;
    time_point expires{};
    bool is_own = false;
  };

  std::unordered_map<uint64_t, entry> origins_;
  /// The streams in the order in which they were added.
  std::deque<uint64_t> order_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_STREAM_ORIGIN_TABLE_H_
