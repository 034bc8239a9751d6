/// \file
/// Identifier types shared by events, actions and messages.
#ifndef CUMINSWITCH_PROTOCOL_IDS_H_
#define CUMINSWITCH_PROTOCOL_IDS_H_

#include <cstdint>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Identifies a caller's request within one daemon.
using request_id = uint64_t;
/// Identifies one attempt at a request. A late response carries an old one and
/// is dropped.
using attempt_id = uint64_t;
/// Number of an accepted configuration; increases monotonically.
using generation_number = uint64_t;
/// Revision of a value in the platform's service; 0 if the value is absent.
using revision_number = uint64_t;
/// Number of a shard of the idempotency-key space.
using shard_number = uint16_t;
/// Ownership epoch of a shard; the owner with the greater one replaces an
/// earlier owner.
using epoch_number = uint64_t;

/// Hash of a workspace and an idempotency key.
using key_hash = hash128;

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_IDS_H_
