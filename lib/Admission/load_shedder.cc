#include "cuminswitch/Admission/load_shedder.h"

#include <algorithm>

namespace cuminswitch {

/// Expected waits from which requests are refused, as multiples of their
/// target. Estimates of the wait are up to a quarter too high, so less urgent
/// requests are refused slightly past their target; interactive ones, which
/// engines run first, much later. Smaller factors (1 and 2.5) serve a fleet of
/// 60 engines better and one of 9 to 12 worse; larger ones (1.5 and 4) the
/// reverse.
static constexpr double kToleratedTargets = 1.25;
static constexpr double kUrgentToleratedTargets = 3;
/// All requests are refused at this multiple of the wait from which some are.
static constexpr double kFullRefusalFactor = 2;
/// All requests are refused whose expected wait exceeds this share of the
/// caller's idle timeout: of those, fewer than half of the responses reached
/// their caller.
static constexpr double kIdleTimeoutShare = 0.75;
static constexpr duration kMinRetryAfter = std::chrono::milliseconds(300);

/// Returns the wait from which some requests are refused.
static duration ToleratedWait(const shedding_query& query) {
  const bool is_urgent = query.priority == priority_class::kInteractive;
  const double targets =
      is_urgent ? kUrgentToleratedTargets : kToleratedTargets;
  return FromSeconds(ToSeconds(query.target) * targets);
}

double RefusalChance(const shedding_query& query) {
  if (query.target == duration(0)) {
    return 0;
  }
  const double wait = ToSeconds(query.waited + query.expected);
  const double partial_from = ToSeconds(ToleratedWait(query));
  double full_from = partial_from * kFullRefusalFactor;
  if (query.caller_idle_timeout > duration(0)) {
    full_from = std::min(
        full_from, ToSeconds(query.caller_idle_timeout) * kIdleTimeoutShare);
  }
  if (wait >= full_from) {
    return 1;
  }
  return wait <= partial_from
             ? 0
             : (wait - partial_from) / (full_from - partial_from);
}

duration RefusedRetryAfter(const shedding_query& query) {
  return std::max(kMinRetryAfter, query.expected - query.target);
}

}  // namespace cuminswitch
