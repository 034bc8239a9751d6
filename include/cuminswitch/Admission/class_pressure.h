/// \file
/// Measures over the fleet how late requests of each class are.
#ifndef CUMINSWITCH_ADMISSION_CLASS_PRESSURE_H_
#define CUMINSWITCH_ADMISSION_CLASS_PRESSURE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Protocol/admission_report.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The work of each class that waits at the upstreams of a target, and how long
/// new requests of the class would wait for their turn, by this daemon's and
/// its peers' reports.
///
/// An engine runs urgent requests first, so its queue alone says little about
/// the wait of a class. Waiting work is used rather than past waits, which are
/// known only when the queue has already grown.
class class_pressure {
 public:
  /// The expected wait of a class for its turn.
  struct estimate {
    /// As a multiple of the target latency; 0 without waiting requests.
    double wait_ratio = 0;
    /// Age of the oldest peer report that it includes.
    duration peer_data_age{0};
  };

  /// Records that a new request is expected to wait \p wait_ratio, a multiple
  /// of its target latency, for its turn.
  void OnArrival(time_point now,
                 uint64_t target,
                 priority_class priority,
                 double wait_ratio);
  /// Adds \p work seconds of prefill that this daemon has sent to an upstream;
  /// negative once its response has begun.
  void AddWaiting(uint64_t target, priority_class priority, double work);
  /// Replaces the previous report of \p peer.
  void OnPeer(time_point now,
              const std::string& peer,
              std::span<const target_pressure> pressures);

  /// Returns the share, 0 to 1, of the fleet's waiting work that engines run
  /// before a new request of the class.
  double ShareAhead(time_point now,
                    uint64_t target,
                    priority_class priority) const;
  /// Returns the largest mean wait of any class that is more urgent than
  /// \p priority.
  estimate FindMoreUrgent(time_point now,
                          uint64_t target,
                          priority_class priority) const;
  /// Returns this daemon's own figures, for its peers.
  std::vector<target_pressure> Report(time_point now) const;

 private:
  struct class_key {
    uint64_t target = 0;
    priority_class priority = priority_class::kStandard;
    friend auto operator<=>(const class_key&, const class_key&) = default;
  };
  struct own_class {
    double waiting = 0;
    /// Decaying sum of the expected waits and their number.
    double ratios = 0;
    double count = 0;
    time_point at{};
  };
  struct peer_report {
    std::vector<target_pressure> pressures;
    time_point at{};
  };

  static double Remaining(time_point now, time_point at);
  /// Calls \p visit with each known figure for \p target and its age.
  template <class Visit>
  void ForEach(time_point now, uint64_t target, const Visit& visit) const;
  estimate Find(time_point now, uint64_t target, priority_class priority) const;

  std::map<class_key, own_class> own_;
  std::map<std::string, peer_report> peers_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_CLASS_PRESSURE_H_
