/// \file
/// Burn rates of the error budgets of the service-level objectives.
#ifndef CUMINSWITCH_REPORT_BURN_REPORT_H_
#define CUMINSWITCH_REPORT_BURN_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cuminswitch/Report/metric_sample.h"

namespace cuminswitch {

struct platform_spec;

/// The burn rate of one objective over one window.
struct burn_rate {
  uint64_t good = 0;
  uint64_t total = 0;
  /// The fraction of bad events divided by the fraction that the objective
  /// allows. At 1 the error budget lasts exactly for its period, above 1 it is
  /// used up earlier.
  double burn = 0;
};

/// The burn rates of a workspace, or of the platform, over one window.
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

/// Computes burn rates from two samples: the long window is all of \p end, the
/// short one the events between \p begin and \p end. The first row is the whole
/// platform; a row for each workspace follows.
std::vector<workspace_burn> ComputeBurn(const platform_spec& objectives,
                                        const metric_sample& begin,
                                        const metric_sample& end);

/// Returns a table for people to read.
std::string WriteBurnText(const std::vector<workspace_burn>& rows);
/// Returns JSON.
std::string WriteBurnJson(const std::vector<workspace_burn>& rows);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_REPORT_BURN_REPORT_H_
