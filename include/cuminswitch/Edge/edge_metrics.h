/// \file
/// Metrics of the requests that a daemon serves on the platform.
#ifndef CUMINSWITCH_EDGE_EDGE_METRICS_H_
#define CUMINSWITCH_EDGE_EDGE_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cuminswitch/Admission/concurrency_permits.h"
#include "cuminswitch/Core/core_status.h"
#include "cuminswitch/Edge/quota_admission.h"
#include "cuminswitch/Edge/upstream_limit_admission.h"
#include "cuminswitch/Metrics/latency_histogram.h"
#include "cuminswitch/Support/outcome.h"

namespace cuminswitch {

/// Counts requests by route and outcome. The label values are bounded: routes
/// come from the configuration and are capped, reasons are constants of the
/// program.
class edge_metrics {
 public:
  void CountEnd(const std::string& route,
                outcome result,
                std::string_view reason,
                double seconds);
  void CountFirstByte(const std::string& route, double seconds);
  /// Counts a complete but late response; \p cause is `first_byte`, `pause` or
  /// `both`.
  void CountLate(const std::string& route, std::string_view cause);
  /// Counts a response that was begun and not completed.
  void CountTruncated(const std::string& route, std::string_view reason);
  /// Counts a caller's connection that was closed with a response unsent or a
  /// request discarded.
  void CountCut(std::string_view cause) { ++cut_[std::string(cause)]; }
  /// Counts a request that was rejected with \p status before routing.
  void CountRejected(uint32_t status) { ++rejected_[status]; }
  /// Counts a request that resumes a stream; \p source says from where its
  /// software version is known.
  void CountResumed(std::string_view source) {
    ++resumed_[std::string(source)];
  }
  /// Figures of other objects that the metrics page includes.
  struct sources {
    const core_status& status;
    const std::map<std::string, quota_counts>& quotas;
    const upstream_limit_admission::counts& limits;
    const concurrency_permits::counts& permits;
    uint64_t log_lines_dropped = 0;
    size_t held_bytes = 0;
    uint64_t refused_for_memory = 0;
    uint64_t upstream_connections = 0;
    uint64_t upstream_doubts = 0;
    bool has_lost_upstreams = false;
    size_t unreadable_upstreams = 0;
    /// Responses that stated a load with a figure that cannot be read.
    uint64_t unreadable_loads = 0;
    bool is_stale = false;
    /// Streams whose software version this daemon knows.
    size_t known_streams = 0;
  };
  std::string Write(const sources& from) const;

 private:
  struct route_metrics {
    std::map<std::string, uint64_t> outcomes;
    std::map<std::string, uint64_t, std::less<>> late;
    std::map<std::string, uint64_t, std::less<>> truncated;
    latency_histogram duration;
    latency_histogram first_byte;
  };

  std::map<std::string, route_metrics> routes_;
  std::map<uint32_t, uint64_t> rejected_;
  std::map<std::string, uint64_t> resumed_;
  std::map<std::string, uint64_t> cut_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_EDGE_METRICS_H_
