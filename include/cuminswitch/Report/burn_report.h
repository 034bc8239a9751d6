/// \file
/// How fast the error budgets of the service-level objectives burn.
#ifndef CUMINSWITCH_REPORT_BURN_REPORT_H_
#define CUMINSWITCH_REPORT_BURN_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cuminswitch/Report/metric_sample.h"

namespace cuminswitch {

struct platform_spec;

/// One objective over one window.
struct burn_rate {
  uint64_t good = 0;
  uint64_t total = 0;
  /// The share of bad events over the share that the objective allows: at 1
  /// the budget lasts exactly as long as its period, above 1 it does not.
  double burn = 0;
};

/// The objectives of a workspace, or of the platform, over one window.
struct objective_burn {
  burn_rate first_token;
  burn_rate between_tokens;
  burn_rate answered;
};

struct workspace_burn {
  /// Empty for the whole platform.
  std::string workspace;
  objective_burn short_window;
  objective_burn long_window;
};

/// Compares two samples: the long window is all of \p end, the short one what
/// came since \p begin. The platform comes first, then the workspaces.
std::vector<workspace_burn> ComputeBurn(const platform_spec& objectives,
                                        const metric_sample& begin,
                                        const metric_sample& end);

/// Writes a table for a person, or JSON.
std::string WriteBurnText(const std::vector<workspace_burn>& rows);
std::string WriteBurnJson(const std::vector<workspace_burn>& rows);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_REPORT_BURN_REPORT_H_
