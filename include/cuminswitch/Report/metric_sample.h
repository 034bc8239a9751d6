/// \file
/// What a daemon's metrics page says of each workspace.
#ifndef CUMINSWITCH_REPORT_METRIC_SAMPLE_H_
#define CUMINSWITCH_REPORT_METRIC_SAMPLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cuminswitch {

/// Cumulative counts by upper bound in seconds, as in the exposition format.
/// Bounds that add nothing may be missing.
struct sampled_histogram {
  std::map<double, uint64_t> cumulative;
  uint64_t count = 0;

  /// Returns how many were at most \p seconds, counting whole bins only.
  uint64_t CountWithin(double seconds) const;
};

struct workspace_sample {
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  sampled_histogram first_token;
  sampled_histogram between_tokens;
};

using metric_sample = std::map<std::string, workspace_sample, std::less<>>;

/// Reads a metrics page and adds its counts to \p sample. Lines that are not
/// about workspaces are passed over.
void AddMetricsPage(std::string_view page, metric_sample& sample);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_REPORT_METRIC_SAMPLE_H_
