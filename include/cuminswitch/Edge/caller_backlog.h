/// \file
/// Bounds what is buffered for a slow caller.
#ifndef CUMINSWITCH_EDGE_CALLER_BACKLOG_H_
#define CUMINSWITCH_EDGE_CALLER_BACKLOG_H_

#include <cstddef>

namespace cuminswitch {

class byte_account;

/// Returns the number of bytes not yet sent to a caller above which reading
/// from the source of its response is paused; less while \p account is tight.
size_t MaxCallerBacklog(const byte_account& account);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_CALLER_BACKLOG_H_
