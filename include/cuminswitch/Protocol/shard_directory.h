/// \file
/// The request router's view of the fleet.
#ifndef CUMINSWITCH_PROTOCOL_SHARD_DIRECTORY_H_
#define CUMINSWITCH_PROTOCOL_SHARD_DIRECTORY_H_

#include <cstddef>

#include "cuminswitch/Protocol/ids.h"

namespace cuminswitch {

struct member;

/// Looks up the serving daemons and the owners of idempotency-key shards.
class shard_directory {
 public:
  virtual ~shard_directory() = default;
  /// Returns the serving member that advertises ownership of \p shard, or null.
  virtual const member* FindOwner(shard_number shard) const = 0;
  /// The number of serving daemons, this one included.
  virtual size_t CountServing() const = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_SHARD_DIRECTORY_H_
