/// \file
/// The error for a frame that cannot be taken.
#ifndef CUMINSWITCH_WIRE_FRAME_ERROR_H_
#define CUMINSWITCH_WIRE_FRAME_ERROR_H_

#include <stdexcept>

namespace cuminswitch {

/// Thrown by the frame decoder; the message says why.
class frame_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_WIRE_FRAME_ERROR_H_
