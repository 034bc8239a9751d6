#include "cuminswitch/Admission/load_shedder.h"

#include <algorithm>

namespace cuminswitch {

/// A queue estimate is up to a quarter too high, so the least urgent requests
/// are refused from a little past their target, and the urgent ones, which
/// engines take first, much later. Earlier (1 and 2.5) serves a fleet of 60
/// engines better and one of 9 to 12 worse, later (1.5 and 4) the other way
/// round.
static constexpr double kTargetsBorne = 1.25;
static constexpr double kUrgentTargetsBorne = 3;
/// Twice the wait from which some are refused, all are.
static constexpr double kAllRefusedFactor = 2;
/// Of the time for which a caller bears silence. Of requests with a longer
/// estimate less than half reached their caller.
static constexpr double kSilenceUsed = 0.75;
static constexpr duration kLeastRetryAfter = std::chrono::milliseconds(300);

/// The wait from which some requests are refused.
static duration BorneWait(const shedding_query& question) {
  const bool is_urgent = question.priority == priority_class::kInteractive;
  const double targets = is_urgent ? kUrgentTargetsBorne : kTargetsBorne;
  return FromSeconds(ToSeconds(question.target) * targets);
}

double RefusalChance(const shedding_query& question) {
  if (question.target == duration(0)) {
    return 0;
  }
  const double wait = ToSeconds(question.waited + question.expected);
  const double some = ToSeconds(BorneWait(question));
  double all = some * kAllRefusedFactor;
  if (question.caller_idle_timeout > duration(0)) {
    all = std::min(all, ToSeconds(question.caller_idle_timeout) * kSilenceUsed);
  }
  if (wait >= all) {
    return 1;
  }
  return wait <= some ? 0 : (wait - some) / (all - some);
}

duration RefusedRetryAfter(const shedding_query& question) {
  return std::max(kLeastRetryAfter, question.expected - question.target);
}

}  // namespace cuminswitch
