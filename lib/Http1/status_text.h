/// \file
/// Reason phrases of HTTP statuses.
#ifndef CUMINSWITCH_LIB_HTTP1_STATUS_TEXT_H_
#define CUMINSWITCH_LIB_HTTP1_STATUS_TEXT_H_

#include <http_parser.h>

#include <cstdint>

namespace cuminswitch {

/// Returns the reason phrase of \p status for a response's status line.
inline const char* StatusText(uint32_t status) {
  return http_status_str(static_cast<http_status>(status));
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_HTTP1_STATUS_TEXT_H_
