/// \file
/// Which requests a fleet that is asked for too much refuses.
#ifndef CUMINSWITCH_ADMISSION_LOAD_SHEDDER_H_
#define CUMINSWITCH_ADMISSION_LOAD_SHEDDER_H_

#include <optional>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// What one request expects, at the upstream that suits it best.
struct shedding_query {
  /// Since it arrived.
  duration waited{0};
  /// From now to its first byte.
  duration expected{0};
  /// Until when a first byte is worth everything, from the arrival.
  duration target{0};
  /// After this long without a byte its caller leaves, from the arrival.
  duration caller_idle_timeout{0};
  priority_class priority = priority_class::kStandard;
};

/// Answers a load that is above what the upstreams can compute. Every request
/// that is taken then waits as long as all before it, so that all are late, and
/// from some point on all callers leave before their answer: what is computed
/// then is lost. Refusing a part keeps the queue as short as the rest can bear.
///
/// Less urgent requests go first. The chance grows with the wait instead of
/// jumping, because all daemons see the same queues, and would refuse all
/// together and then none.
///
/// \returns how likely the request is to be refused, from 0 to 1.
double RefusalChance(const shedding_query& question);

/// When a refused request may come back: the queue it met has shrunk to what a
/// request like it can bear by then, if the load does not grow.
duration RefusedRetryAfter(const shedding_query& question);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_LOAD_SHEDDER_H_
