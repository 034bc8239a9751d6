/// \file
/// Calls to the platform's key-value service, and their replies.
#ifndef CUMINSWITCH_PROTOCOL_PLATFORM_CALL_H_
#define CUMINSWITCH_PROTOCOL_PLATFORM_CALL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// The component of the core that made a call and receives the reply.
enum class call_owner : uint8_t {
  kConfigurationHead,
  kConfigurationChunk,
  kShard,
  kHostList,
};

/// Identifies one call; returned with the reply.
struct call_tag {
  call_owner owner = call_owner::kConfigurationHead;
  /// The shard, where the owner is `kShard`.
  shard_number shard = 0;
  uint64_t serial = 0;
};

enum class platform_operation : uint8_t {
  kRead,
  /// Writes if the value's revision is `expected`.
  kCompareAndSwap,
  /// Long poll: completes when the revision differs from `expected`, or on a
  /// time-out.
  kWatch,
  /// Reads the platform's list of hosts, which lags.
  kListHosts,
};

struct platform_call {
  call_tag tag;
  platform_operation operation = platform_operation::kRead;
  std::string key;
  std::string value;
  revision_number expected = 0;
};

enum class platform_status : uint8_t {
  kOk,
  kAbsent,
  /// A compare-and-swap found another revision; nothing was written.
  kConflict,
  /// No reply was received: a write may or may not have taken effect.
  kNoReply,
};

/// One entry of the platform's list of hosts, which lags.
struct listed_host {
  std::string host;
  endpoint peer_address;
  bool leaving = false;
};

struct platform_reply {
  call_tag tag;
  platform_status status = platform_status::kNoReply;
  revision_number revision = 0;
  std::string value;
  std::vector<listed_host> hosts;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_PLATFORM_CALL_H_
