/// \file
/// What daemons report to one another about the requests that they admit and
/// refuse.
#ifndef CUMINSWITCH_PROTOCOL_ADMISSION_REPORT_H_
#define CUMINSWITCH_PROTOCOL_ADMISSION_REPORT_H_

#include <cstdint>
#include <vector>

#include "cuminswitch/Config/configuration.h"

namespace cuminswitch {

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

/// A daemon's report about its admissions; empty where nothing calls for it.
struct admission_report {
  std::vector<target_pressure> pressures;

  bool IsEmpty() const { return pressures.empty(); }
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_ADMISSION_REPORT_H_
