/// \file
/// The journal of one idempotency-key shard, as stored on the platform.
#ifndef CUMINSWITCH_RECORDS_SHARD_RECORD_H_
#define CUMINSWITCH_RECORDS_SHARD_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Protocol/ids.h"

namespace cuminswitch {

/// One key under which a request was started.
struct shard_entry {
  key_hash key;
  /// When the caller created the key, in Unix seconds.
  uint64_t issued = 0;
  hash128 request_digest;
};

/// The owner of a shard, and each key whose request may still be repeated.
struct shard_record {
  epoch_number epoch = 0;
  /// Empty when the owner released the shard.
  std::string owner_host;
  uint64_t owner_incarnation = 0;
  /// Keys issued at or before this Unix second are no longer in `entries`
  /// and are refused.
  uint64_t floor = 0;
  std::vector<shard_entry> entries;
};

/// Encodes \p record for the platform.
std::string EncodeShardRecord(const shard_record& record);
/// Decodes a record; throws `record_error` when \p bytes are not one.
shard_record DecodeShardRecord(std::string_view bytes);
/// The platform key that holds the record of \p shard.
std::string ShardKey(shard_number shard);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_RECORDS_SHARD_RECORD_H_
