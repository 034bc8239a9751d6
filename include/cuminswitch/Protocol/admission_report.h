/// \file
/// What daemons report to one another about the requests that they admit and
/// refuse.
#ifndef CUMINSWITCH_PROTOCOL_ADMISSION_REPORT_H_
#define CUMINSWITCH_PROTOCOL_ADMISSION_REPORT_H_

#include <cstdint>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// One workspace's recent demand for a target at one daemon.
struct workspace_demand {
  /// Hash of the workspace's name.
  uint64_t workspace = 0;
  /// Hash of the target's name.
  uint64_t target = 0;
  priority_class priority = priority_class::kStandard;
  /// Cost of the requests that arrived, in seconds of an upstream's work per
  /// second.
  double offered = 0;
  /// The same for those that were admitted.
  double admitted = 0;

  friend bool operator==(const workspace_demand&,
                         const workspace_demand&) = default;
};

/// How late requests of one class are at one daemon.
struct target_pressure {
  /// Hash of the target's name.
  uint64_t target = 0;
  priority_class priority = priority_class::kStandard;
  /// Mean time that recent requests were expected to wait for an upstream to
  /// begin their prefill, as a multiple of their target latency.
  double wait_ratio = 0;
  /// Prefill time, in seconds, of the requests that wait at upstreams.
  double weight = 0;

  friend bool operator==(const target_pressure&,
                         const target_pressure&) = default;
};

/// A refused request whose caller was told when to return.
struct return_promise {
  /// Folded digest of the request, which is the same when the caller returns.
  uint64_t request = 0;
  /// Time until it is due; negative if it already is.
  duration due_in{0};
  /// It has returned and was admitted, at any daemon.
  bool is_kept = false;

  friend bool operator==(const return_promise&,
                         const return_promise&) = default;
};

/// A daemon's report about its admissions; empty where nothing calls for it.
struct admission_report {
  std::vector<workspace_demand> demands;
  std::vector<target_pressure> pressures;
  /// Promises made or kept since the last report to the same peer.
  std::vector<return_promise> promises;

  bool IsEmpty() const {
    return demands.empty() && pressures.empty() && promises.empty();
  }
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_ADMISSION_REPORT_H_
