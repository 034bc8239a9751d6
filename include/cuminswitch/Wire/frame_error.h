/// \file
/// The error for a frame that is malformed or has a wrong credential.
#ifndef CUMINSWITCH_WIRE_FRAME_ERROR_H_
#define CUMINSWITCH_WIRE_FRAME_ERROR_H_

#include <stdexcept>

namespace cuminswitch {

/// Thrown by the frame decoder; the message gives the reason.
class frame_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_WIRE_FRAME_ERROR_H_
