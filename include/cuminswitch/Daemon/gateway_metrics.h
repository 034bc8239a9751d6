/// \file
/// What the gateway measures, per workspace.
#ifndef CUMINSWITCH_DAEMON_GATEWAY_METRICS_H_
#define CUMINSWITCH_DAEMON_GATEWAY_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

#include "cuminswitch/Metrics/latency_histogram.h"
#include "cuminswitch/Support/outcome.h"

namespace cuminswitch {

struct core_status;

/// One workspace's measurements. Made when its first request comes, so a
/// daemon holds them only for the workspaces that use it.
struct workspace_metrics {
  latency_histogram first_token;
  latency_histogram between_tokens;
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;

  void Count(outcome result);
};

struct gateway_metrics {
  std::map<std::string, workspace_metrics, std::less<>> workspaces;
  /// The daemon's own part of the time to first token: from the request read
  /// to its dispatch, without time spent waiting for room.
  latency_histogram dispatch_delay;

  workspace_metrics& Of(const std::string& workspace) {
    return workspaces[workspace];
  }
};

/// Writes the metrics page.
std::string WriteMetrics(const gateway_metrics& metrics,
                         const core_status& status);
/// Writes the status page, in JSON.
std::string WriteStatus(const core_status& status);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_GATEWAY_METRICS_H_
