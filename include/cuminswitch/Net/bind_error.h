/// \file
/// The error for an address that cannot be listened on.
#ifndef CUMINSWITCH_NET_BIND_ERROR_H_
#define CUMINSWITCH_NET_BIND_ERROR_H_

#include <stdexcept>

namespace cuminswitch {

/// Thrown when a listening socket cannot be opened; the message contains the
/// address and the reason.
class bind_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_BIND_ERROR_H_
