/// \file
/// Why a request is expected to be served when it is.
#ifndef CUMINSWITCH_PROTOCOL_EXPECTED_WAIT_H_
#define CUMINSWITCH_PROTOCOL_EXPECTED_WAIT_H_

#include <string>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The parts of a request's wait for its first byte at the upstream that suits
/// it best. A refusal says with it what it was decided from, so that one can
/// tell later whether it was right.
struct expected_wait {
  std::string upstream;
  /// Since the request arrived.
  duration waited{0};
  /// Behind those that wait in this daemon and are as urgent.
  duration local_queue{0};
  /// Until the upstream has room.
  duration capacity{0};
  /// Behind the prompts that the upstream has yet to read.
  duration upstream_queue{0};
  /// While the upstream reads the request's own prompt.
  duration prefill{0};
  /// By how much waits were longer than expected of late.
  duration prediction_error{0};
  /// Age of the oldest that peers told of their requests and that counts.
  duration peer_data_age{0};
  /// By when the first byte should come, from the arrival.
  duration target{0};

  /// From now to the first byte.
  duration Remaining() const {
    return local_queue + capacity + upstream_queue + prefill + prediction_error;
  }
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_EXPECTED_WAIT_H_
