/// \file
/// What the request router asks of the fleet.
#ifndef CUMINSWITCH_PROTOCOL_SHARD_DIRECTORY_H_
#define CUMINSWITCH_PROTOCOL_SHARD_DIRECTORY_H_

#include <cstddef>

#include "cuminswitch/Protocol/ids.h"

namespace cuminswitch {

struct member;

/// Who serves, and who owns which part of the idempotency keys.
class shard_directory {
 public:
  virtual ~shard_directory() = default;
  /// Returns the serving member that says it owns \p shard, or null.
  virtual const member* FindOwner(shard_number shard) const = 0;
  /// The number of serving daemons, this one included.
  virtual size_t CountServing() const = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_SHARD_DIRECTORY_H_
