/// \file
/// The error for a malformed record.
#ifndef CUMINSWITCH_RECORDS_RECORD_ERROR_H_
#define CUMINSWITCH_RECORDS_RECORD_ERROR_H_

#include <stdexcept>

namespace cuminswitch {

/// Thrown by the record decoders; the message names the type of record.
class record_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_RECORDS_RECORD_ERROR_H_
