/// \file
/// Decides which requests an overloaded fleet refuses.
#ifndef CUMINSWITCH_ADMISSION_LOAD_SHEDDER_H_
#define CUMINSWITCH_ADMISSION_LOAD_SHEDDER_H_

#include <optional>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The expected wait of one request at its best upstream, and how much of it
/// the caller tolerates.
struct shedding_query {
  /// Time since the request arrived.
  duration waited{0};
  /// Expected time from now to the first byte of the response.
  duration expected{0};
  /// Target for the time from arrival to first byte: a response within it
  /// counts in full. 0 where the route has no target.
  duration target{0};
  /// Time from arrival after which the caller disconnects if it has received no
  /// byte; 0 where it is unknown.
  duration caller_idle_timeout{0};
  priority_class priority = priority_class::kStandard;
};

/// Returns the probability, from 0 to 1, with which the request is refused.
///
/// Handles a load above the capacity of the upstreams. If every request is
/// accepted then, each waits for all before it, so that all are late; from some
/// point on, callers disconnect before the response, and the computation is
/// wasted. Refusing some requests keeps the queue short enough for the others.
///
/// Less urgent requests are refused first. The probability grows with the wait
/// instead of jumping from 0 to 1, because all daemons see the same queues and
/// would alternate between refusing every request and none.
double RefusalChance(const shedding_query& query);

/// Returns the `Retry-After` of a refused request: the time until the queue has
/// shrunk to the request's target, if the load does not grow.
duration RefusedRetryAfter(const shedding_query& query);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_LOAD_SHEDDER_H_
