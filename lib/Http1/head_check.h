/// \file
/// Validates the head of a message.
#ifndef CUMINSWITCH_LIB_HTTP1_HEAD_CHECK_H_
#define CUMINSWITCH_LIB_HTTP1_HEAD_CHECK_H_

#include <string_view>

namespace cuminswitch {

/// Whether \p head, up to and including its empty line, is unambiguous: lines
/// end in CRLF, fields are `name: value` with a token as the name, there are no
/// control characters, at most one length and none beside a transfer coding,
/// and `chunked` is the only coding. The first line has `HTTP/1.x` and a status
/// from 100 to 599 or, with \p is_request, a target that begins with a slash;
/// a request has exactly one `Host`.
bool IsStrictHead(std::string_view head, bool is_request);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_HTTP1_HEAD_CHECK_H_
