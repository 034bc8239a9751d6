#include "cuminswitch/Edge/caller_backlog.h"

#include "cuminswitch/Net/byte_account.h"

namespace cuminswitch {

static constexpr size_t kMaxBacklog = 64UL << 10;
/// The same while much is already buffered for slow callers.
static constexpr size_t kMaxBacklogUnderPressure = 4UL << 10;

size_t MaxCallerBacklog(const byte_account& account) {
  return account.IsTight() ? kMaxBacklogUnderPressure : kMaxBacklog;
}

}  // namespace cuminswitch
