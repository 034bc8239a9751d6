/// \file
/// The counts per workspace on the metrics pages of daemons.
#ifndef CUMINSWITCH_REPORT_METRIC_SAMPLE_H_
#define CUMINSWITCH_REPORT_METRIC_SAMPLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cuminswitch {

/// Cumulative counts by upper bound in seconds, as in the text exposition
/// format. Bounds of empty bins may be missing.
struct sampled_histogram {
  std::map<double, uint64_t> cumulative;
  uint64_t count = 0;

  /// Returns the count of the bins whose upper bound is at most \p seconds.
  uint64_t CountWithin(double seconds) const;
};

/// The counts of one workspace since the start of the daemons.
struct workspace_sample {
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  sampled_histogram first_token;
  sampled_histogram between_tokens;
};

/// The counts by name of the workspace.
using metric_sample = std::map<std::string, workspace_sample, std::less<>>;

/// Parses a metrics page and adds its counts to \p sample. Lines without a
/// `workspace` label are ignored.
void AddMetricsPage(std::string_view page, metric_sample& sample);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_REPORT_METRIC_SAMPLE_H_
