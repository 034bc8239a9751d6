/// \file
/// Brings the accepted configuration into force in one daemon.
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

/// Watches the platform where this daemon is one of its failure domain's
/// watchers, and otherwise takes the configuration from peers. It adopts only
/// a greater generation, so nothing that was accepted ever reverts.
class config_sync {
 public:
  struct options {
    endpoint self;
    std::string failure_domain;
    uint64_t random_seed = 0;
    /// Daemons per failure domain that hold a watch on the platform.
    size_t watchers = 2;
    /// Time that a starting daemon gives its peers before it asks the
    /// platform, so that a herd of restarts does not fall upon the platform.
    duration start_grace = std::chrono::milliseconds(400);
    /// Time after which one that is no watcher asks the platform itself; up to
    /// as much again is added at random.
    duration empty_grace = std::chrono::milliseconds(1500);
  };

  explicit config_sync(const options& opts);

  void OnTick(time_point now, const member_table& members, action_list& out);
  void OnPlatformAnswer(time_point now,
                        const platform_reply& answer,
                        action_list& out);
  /// A peer says which generation it has in force.
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
  /// Records and chunks that could not be used.
  uint64_t rejected_count() const { return rejected_; }

 private:
  /// A chunk's text and what it states.
  struct chunk {
    std::string text;
    std::shared_ptr<const configuration> fragment;
  };

  void ReadMissingChunks(action_list& out);
  void Consider(const std::string& head_bytes);
  void AdoptIfWhole(action_list& out);
  void StoreChunk(const std::string& hash, const std::string& text);
  void OnHead(time_point now, const platform_reply& answer, action_list& out);
  void BackOff(time_point now);

  options options_;
  std::mt19937_64 random_;
  generation_number generation_ = 0;
  std::shared_ptr<const configuration> config_;
  std::string head_bytes_;
  /// A newer head whose chunks are still being gathered.
  std::optional<configuration_head> next_head_;
  std::string next_head_bytes_;
  std::map<std::string, chunk> chunks_;
  std::set<std::string> reading_;
  std::map<uint64_t, std::string> reads_by_serial_;
  revision_number head_revision_ = 0;
  bool watching_ = false;
  bool read_platform_ = false;
  uint64_t serial_ = 0;
  duration backoff_{0};
  time_point started_ = time_point::max();
  time_point next_watch_{};
  time_point next_peer_request_{};
  uint64_t rejected_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CONFIGSYNC_CONFIG_SYNC_H_
