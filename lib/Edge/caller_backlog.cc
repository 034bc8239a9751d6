#include "cuminswitch/Edge/caller_backlog.h"

#include <cstddef>

#include "cuminswitch/Http1/caller_exchange.h"
#include "cuminswitch/Net/byte_account.h"

namespace cuminswitch {

static constexpr size_t kMaxBacklog = 64UL << 10;
/// The same while much is already buffered for slow callers.
static constexpr size_t kMaxBacklogUnderPressure = 4UL << 10;

bool HasMaxBacklog(const caller_exchange& exchange,
                   const byte_account& account) {
  return exchange.PendingBytes() >
         (account.IsTight() ? kMaxBacklogUnderPressure : kMaxBacklog);
}

}  // namespace cuminswitch
