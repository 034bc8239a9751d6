/// \file
/// The gateway's metrics, by workspace.
#ifndef CUMINSWITCH_DAEMON_GATEWAY_METRICS_H_
#define CUMINSWITCH_DAEMON_GATEWAY_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

#include "cuminswitch/Metrics/latency_histogram.h"
#include "cuminswitch/Support/outcome.h"

namespace cuminswitch {

struct core_status;

/// Metrics of one workspace. Created on its first request, so that a daemon
/// holds them only for the workspaces that send to it.
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
  /// The daemon's own share of the time to first token: from the request being
  /// read to its first dispatch, including any wait for capacity.
  latency_histogram dispatch_delay;

  workspace_metrics& Of(const std::string& workspace) {
    return workspaces[workspace];
  }
};

/// Writes the metrics page in the Prometheus text format.
std::string WriteMetrics(const gateway_metrics& metrics,
                         const core_status& status);
/// Writes the status page, in JSON.
std::string WriteStatus(const core_status& status);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_GATEWAY_METRICS_H_
