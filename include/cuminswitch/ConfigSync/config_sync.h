/// \file
/// Fetches the accepted configuration and puts it into force in one daemon.
#ifndef CUMINSWITCH_CONFIGSYNC_CONFIG_SYNC_H_
#define CUMINSWITCH_CONFIGSYNC_CONFIG_SYNC_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Protocol/peer_message.h"
#include "cuminswitch/Records/configuration_head.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class member_table;

/// Watches the configuration head on the platform if this daemon is one of its
/// failure domain's watchers, and otherwise gets the configuration from peers.
/// Adopts only a greater generation, so that an accepted configuration never
/// reverts.
class config_sync {
 public:
  struct options {
    endpoint self;
    std::string failure_domain;
    uint64_t random_seed = 0;
    /// Number of daemons per failure domain that watch the platform.
    size_t watchers = 2;
    /// Time that a starting daemon waits for its peers before it may query the
    /// platform, so that many restarts at once do not overload the platform.
    duration start_grace = std::chrono::milliseconds(400);
    /// Time after its start when a daemon that has no configuration and is not
    /// a watcher queries the platform itself; random jitter of up to the same
    /// time is added.
    duration empty_grace = std::chrono::milliseconds(1500);
  };

  explicit config_sync(const options& opts);

  void OnTick(time_point now, const member_table& members, action_list& out);
  void OnPlatformReply(time_point now,
                       const platform_reply& reply,
                       action_list& out);
  /// Handles a peer's advertisement of the generation that it has in force;
  /// requests the configuration from the peer if that is newer.
  void OnPeerGeneration(time_point now,
                        generation_number generation,
                        const endpoint& peer,
                        action_list& out);
  void OnRequest(const configuration_request& message, action_list& out) const;
  void OnReply(time_point now,
               const configuration_reply& message,
               action_list& out);

  generation_number generation() const { return generation_; }
  const std::shared_ptr<const configuration>& config() const { return config_; }
  /// Number of head records and chunks that were rejected as malformed, or
  /// because a chunk did not match its content hash.
  uint64_t rejected_count() const { return rejected_; }

 private:
  /// A chunk's text and the part of the configuration parsed from it.
  struct chunk {
    std::string text;
    std::shared_ptr<const configuration> fragment;
  };

  void ReadMissingChunks(action_list& out);
  void ConsiderHead(const std::string& head_bytes);
  void AdoptIfComplete(action_list& out);
  void StoreChunk(const std::string& hash, const std::string& text);
  void OnHead(time_point now, const platform_reply& reply, action_list& out);
  void BackOff(time_point now);

  options options_;
  std::mt19937_64 random_;
  generation_number generation_ = 0;
  std::shared_ptr<const configuration> config_;
  std::string head_bytes_;
  /// Newer head, some of whose chunks are still missing.
  std::optional<configuration_head> next_head_;
  std::string next_head_bytes_;
  std::map<std::string, chunk> chunks_;
  std::set<std::string> reading_;
  std::map<uint64_t, std::string> reads_by_serial_;
  revision_number head_revision_ = 0;
  bool watching_ = false;
  bool has_queried_platform_ = false;
  uint64_t serial_ = 0;
  duration backoff_{0};
  time_point started_ = time_point::max();
  time_point next_watch_{};
  time_point next_peer_request_{};
  uint64_t rejected_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CONFIGSYNC_CONFIG_SYNC_H_
