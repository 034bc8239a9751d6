#include "cuminswitch/Admission/urgency_shedder.h"

#include <algorithm>

namespace cuminswitch {

/// Expected time to first byte, as a multiple of the target, between which the
/// refusal of late requests grows from none to nearly all. Between reports of
/// peers a queue grows by up to half an urgent target, so a request that just
/// seems to be in time would not be.
static constexpr double kSomeLate = 0.5;
static constexpr double kAllLate = 1;
/// Waits for other requests, as multiples of the target, between which the
/// upstreams turn from idle to busy. Half a target of wait leaves the other
/// half for the prefill.
static constexpr double kSomeContention = 0.25;
static constexpr double kFullContention = 0.75;
/// Mean waits of more urgent requests, as multiples of their target, between
/// which a request yields: from the first on, only prompts with little prefill
/// are in time, at the second none are.
static constexpr double kSomeYield = 0.5;
static constexpr double kAllYield = 1;
/// Share of the requests that are refused at most.
static constexpr double kMaxChance = 0.9;
/// Share of the caller's idle timeout beyond which few responses reach it.
static constexpr double kIdleTimeoutShare = 0.75;

/// Returns how far \p value lies between \p from and \p to, 0 to 1.
static double Ramp(double value, double from, double to) {
  return std::clamp((value - from) / (to - from), 0.0, 1.0);
}

double LatenessChance(const urgency_query& query) {
  if (query.target == duration(0)) {
    return 0;
  }
  const double target = ToSeconds(query.target);
  const double queue = ToSeconds(query.waited + query.queue) / target;
  if (queue >= 1) {
    // Even a prompt without any prefill would be late.
    return 1;
  }
  const double prefill = ToSeconds(query.prefill) / target;
  return kMaxChance * Ramp(queue, kSomeContention, kFullContention) *
         Ramp(queue + std::min(1.0, prefill), kSomeLate, kAllLate);
}

double YieldingChance(const urgency_query& query) {
  return kMaxChance * Ramp(query.more_urgent_wait, kSomeYield, kAllYield);
}

double ScarcityChance(const urgency_query& query) {
  const duration total = query.waited + query.queue + query.prefill;
  if (query.caller_idle_timeout > duration(0) &&
      ToSeconds(total) >=
          ToSeconds(query.caller_idle_timeout) * kIdleTimeoutShare) {
    return 1;
  }
  return std::max(LatenessChance(query), YieldingChance(query));
}

bool IsYielding(const urgency_query& query) {
  return YieldingChance(query) > LatenessChance(query);
}

}  // namespace cuminswitch
