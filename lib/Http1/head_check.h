/// \file
/// Checks the text of a message's head.
#ifndef CUMINSWITCH_LIB_HTTP1_HEAD_CHECK_H_
#define CUMINSWITCH_LIB_HTTP1_HEAD_CHECK_H_

#include <string_view>

namespace cuminswitch {

/// Whether \p head, up to and with its empty line, can be read in one way
/// only: lines end in CRLF, fields are `name: value` with a token for a name,
/// no control characters, one length at most and never beside a transfer
/// coding, `chunked` the only coding. \p is_request also wants `HTTP/1.x`, a
/// target that begins with a slash and exactly one `Host`.
bool IsStrictHead(std::string_view head, bool is_request);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_HTTP1_HEAD_CHECK_H_
