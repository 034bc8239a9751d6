/// \file
/// The messages between daemons. The Wire package serializes them.
#ifndef CUMINSWITCH_PROTOCOL_PEER_MESSAGE_H_
#define CUMINSWITCH_PROTOCOL_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Protocol/member.h"
#include "cuminswitch/Support/outcome.h"

namespace cuminswitch {

/// Number of a workspace's requests in flight at the sender.
struct workspace_use {
  uint64_t workspace_hash = 0;
  uint32_t in_flight = 0;
};

/// Probe of a member, or the reply to one. Either carries member updates, the
/// configuration generation and the use of workspaces.
struct heartbeat {
  uint64_t sequence = 0;
  bool is_reply = false;
  member sender;
  std::vector<member> updates;
  generation_number generation = 0;
  std::vector<workspace_use> usage;
};

/// Asks the receiver to probe `target` on the sender's behalf.
struct probe_request {
  uint64_t sequence = 0;
  endpoint reply_to;
  endpoint target;
};

/// Tells the sender of a `probe_request` that the target is alive.
struct probe_reply {
  uint64_t sequence = 0;
  member target;
};

/// Requests the configuration in force at the receiver.
struct configuration_request {
  endpoint reply_to;
  /// Content hashes of the chunks that the sender already has.
  std::vector<std::string> held_chunks;
};

/// One chunk of the canonical configuration document, with its content hash.
struct configuration_chunk {
  std::string hash;
  std::string text;
};

/// A head record as stored in the platform, with the chunks that the requester
/// does not have.
struct configuration_reply {
  std::string head;
  std::vector<configuration_chunk> chunks;
};

/// Asks a shard's owner for permission to start a request that may run at most
/// once.
struct start_request {
  endpoint reply_to;
  /// The requesting daemon. Its incarnation distinguishes requests after a
  /// restart from earlier ones, since request numbers begin anew.
  std::string host;
  uint64_t incarnation = 0;
  request_id request = 0;
  shard_number shard = 0;
  key_hash key;
  /// When the caller created the key, in Unix seconds.
  uint64_t key_issued = 0;
  /// Digest of the request; a repeated request must have the same one.
  hash128 request_digest;
};

/// Result of a `start_request`, decided by the shard's owner.
enum class start_result : uint8_t {
  /// The start is journaled; only the requesting daemon may run it, once.
  kGranted,
  /// Nothing ran, and nothing was journaled for this request.
  kRefused,
  /// An earlier request with this key was started; the owner does not know how
  /// it ended.
  kStarted,
  /// An earlier request with this key was answered; its response is attached.
  kAnswered,
  /// The key was used for another request.
  kMismatch,
  /// The key is older than the retention window.
  kExpired,
  /// The receiver does not own the shard.
  kNotOwner,
};

/// A response that is recorded so that a repeated request with the same key
/// gets the same one.
struct recorded_response {
  uint32_t status = 0;
  std::string content_type;
  std::string body;
};

struct start_reply {
  request_id request = 0;
  start_result result = start_result::kRefused;
  epoch_number epoch = 0;
  uint32_t retry_after_seconds = 0;
  recorded_response response;
};

/// Reports to a shard's owner how a started request ended.
struct finish_report {
  shard_number shard = 0;
  key_hash key;
  outcome result = outcome::kUnknown;
  recorded_response response;
};

/// Releases an unused grant: nothing ran, and nothing will run under it.
struct release_report {
  shard_number shard = 0;
  key_hash key;
  std::string host;
  uint64_t incarnation = 0;
  request_id request = 0;
};

using peer_message = std::variant<heartbeat,
                                  probe_request,
                                  probe_reply,
                                  configuration_request,
                                  configuration_reply,
                                  start_request,
                                  start_reply,
                                  finish_report,
                                  release_report>;

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_PEER_MESSAGE_H_
