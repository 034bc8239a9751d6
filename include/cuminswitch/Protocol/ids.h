/// \file
/// Identifiers that events, actions and messages share.
#ifndef CUMINSWITCH_PROTOCOL_IDS_H_
#define CUMINSWITCH_PROTOCOL_IDS_H_

#include <cstdint>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// One caller's request within one daemon.
using request_id = uint64_t;
/// One attempt at a request; a late answer carries an old one and is dropped.
using attempt_id = uint64_t;
/// Number of an accepted configuration; only ever grows.
using generation_number = uint64_t;
/// A revision of a value in the platform's service; 0 means "absent".
using revision_number = uint64_t;
/// One of the fixed number of parts of the idempotency-key space.
using shard_number = uint16_t;
/// Ownership number of a shard; a greater one deposes a smaller.
using epoch_number = uint64_t;

/// Hash of a workspace and an idempotency key.
using key_hash = hash128;

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_IDS_H_
