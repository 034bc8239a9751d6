/// \file
/// The error for bytes that are not the record they should be.
#ifndef CUMINSWITCH_RECORDS_RECORD_ERROR_H_
#define CUMINSWITCH_RECORDS_RECORD_ERROR_H_

#include <stdexcept>

namespace cuminswitch {

/// Thrown by the decoders; the message names the record.
class record_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_RECORDS_RECORD_ERROR_H_
