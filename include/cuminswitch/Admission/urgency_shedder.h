/// \file
/// Decides which class of requests yields while capacity is scarce.
#ifndef CUMINSWITCH_ADMISSION_URGENCY_SHEDDER_H_
#define CUMINSWITCH_ADMISSION_URGENCY_SHEDDER_H_

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// A request's expected wait, and how long more urgent requests wait.
struct urgency_query {
  /// Time since the request arrived.
  duration waited{0};
  /// Expected time from now until an upstream begins its prefill.
  duration queue{0};
  /// Expected prefill time of its own prompt.
  duration prefill{0};
  /// Target for the time from arrival to first byte; 0 where there is none.
  duration target{0};
  /// Time from arrival after which the caller disconnects without a byte; 0
  /// where it is unknown.
  duration caller_idle_timeout{0};
  /// Mean wait of the more urgent classes for their turn, as a multiple of
  /// their target.
  double more_urgent_wait = 0;
};

/// Returns the probability with which the request is refused because its
/// response would be late.
///
/// It is refused for the sake of others, so only while requests wait for one
/// another. A long prompt is late even at an idle upstream, where refusing it
/// helps nobody and its late response is still of use; of requests that wait
/// equally long, the longest prompts are refused first. The probability grows
/// with the wait, since all daemons see the same queues.
double LatenessChance(const urgency_query& query);

/// Returns the probability with which the request is refused in favour of more
/// urgent ones that would otherwise miss their target.
double YieldingChance(const urgency_query& query);

/// Returns the probability with which the request is refused for either reason.
///
/// Handles a load of several times the capacity of the upstreams, whose engines
/// run urgent requests first. A tenth of the requests that wait for less than
/// their target is never refused, so that no class and no prompt length
/// starves; the others are refused once even a prompt without prefill would be
/// late, so that the queues are short when the load has passed.
double ScarcityChance(const urgency_query& query);

/// Whether a request that is refused with `ScarcityChance` is refused for the
/// sake of more urgent ones.
bool IsYielding(const urgency_query& query);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_URGENCY_SHEDDER_H_
