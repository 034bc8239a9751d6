/// \file
/// The estimated time to first byte of a request, by component.
#ifndef CUMINSWITCH_PROTOCOL_EXPECTED_WAIT_H_
#define CUMINSWITCH_PROTOCOL_EXPECTED_WAIT_H_

#include <string>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The components of a request's wait for its first byte at the best upstream.
/// They are logged with a refusal, so that one can check later whether the
/// refusal was right.
struct expected_wait {
  std::string upstream;
  /// Time since the request arrived.
  duration waited{0};
  /// Wait behind requests queued in this daemon that are at least as urgent.
  duration local_queue{0};
  /// Wait until the upstream has capacity.
  duration capacity{0};
  /// Wait behind the prompts that the upstream has yet to prefill.
  duration upstream_queue{0};
  /// Prefill time of the request's own prompt.
  duration prefill{0};
  /// Mean of actual minus expected wait of recent requests.
  duration prediction_error{0};
  /// Age of the oldest backlog report of a peer that is included.
  duration peer_data_age{0};
  /// Mean expected wait of more urgent requests for their turn at an upstream,
  /// over the fleet, as a multiple of their target; 0 unless capacity is
  /// scarce.
  double more_urgent_wait = 0;
  /// Age of the oldest peer report in it.
  duration pressure_age{0};
  /// Target time to first byte, from the arrival.
  duration target{0};

  /// Expected time from now to the first byte.
  duration Remaining() const {
    return local_queue + capacity + upstream_queue + prefill + prediction_error;
  }
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_EXPECTED_WAIT_H_
