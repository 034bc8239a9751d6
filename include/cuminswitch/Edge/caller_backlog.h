/// \file
/// Bounds what is buffered for a slow caller.
#ifndef CUMINSWITCH_EDGE_CALLER_BACKLOG_H_
#define CUMINSWITCH_EDGE_CALLER_BACKLOG_H_

namespace cuminswitch {

class byte_account;
class caller_exchange;

/// Whether so much of the response waits for a slow caller that reading from
/// its source must pause. Less may wait while \p account is tight.
bool HasMaxBacklog(const caller_exchange& exchange,
                   const byte_account& account);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_CALLER_BACKLOG_H_
