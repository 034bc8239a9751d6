/// \file
/// Validates the head of a message.
#ifndef CUMINSWITCH_LIB_HTTP1_HEAD_CHECK_H_
#define CUMINSWITCH_LIB_HTTP1_HEAD_CHECK_H_

#include <string_view>

namespace cuminswitch {

/// Whether \p head, up to and including its empty line, is unambiguous: lines
/// end in CRLF, fields are `name: value` with a token as the name, there are no
/// control characters, at most one length and none beside a transfer coding,
/// and `chunked` is the only coding. With \p is_request it also requires
/// `HTTP/1.x`, a target that begins with a slash and exactly one `Host`.
bool IsStrictHead(std::string_view head, bool is_request);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_HTTP1_HEAD_CHECK_H_
