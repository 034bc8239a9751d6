/// \file
/// One daemon's view of all idempotency-key shards: those it owns, those it
/// should claim, and the owners of the others.
#ifndef CUMINSWITCH_ONCE_SHARD_MANAGER_H_
#define CUMINSWITCH_ONCE_SHARD_MANAGER_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "cuminswitch/Once/shard_journal.h"
#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Protocol/peer_message.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class member_table;

/// Distributes the shards over the daemons and manages the journals of the
/// shards that this daemon owns.
class shard_manager {
 public:
  struct options {
    std::string host;
    uint64_t incarnation = 0;
    uint64_t random_seed = 0;
    shard_number shard_count = 16;
    /// Write budget of the whole fleet, in journal writes per second.
    double fleet_writes_per_second = 200;
    /// Time for which a key is retained after the caller issued it.
    std::chrono::seconds retention{600};
    /// Time for which a shard must have no owner before it is claimed.
    duration claim_delay = std::chrono::milliseconds(800);
  };

  explicit shard_manager(const options& opts);

  void OnTick(time_point now,
              uint64_t unix_now,
              const member_table& members,
              action_list& out);
  void OnPlatformReply(time_point now,
                       uint64_t unix_now,
                       const platform_reply& reply,
                       action_list& out);
  void OnStart(time_point now,
               uint64_t unix_now,
               const start_request& request,
               action_list& out);
  void OnFinish(const finish_report& report);
  void OnRelease(const release_report& report);
  /// Releases the owned shards and claims no more. A shard with an outstanding
  /// platform call or uncertain ownership is released by a later `OnTick`;
  /// `OwnedShards` is empty once all are.
  void ReleaseAll(uint64_t unix_now, action_list& out);

  std::vector<shard_number> OwnedShards() const;
  bool Owns(shard_number shard) const;
  uint64_t CountWrites() const;

 private:
  struct slot {
    shard_journal journal;
    /// Time since which no serving member has advertised the shard as its own;
    /// `time_point::max()` while one does.
    time_point vacant_since = time_point::max();
    time_point next_claim{};
  };

  void ConsiderClaim(time_point now,
                     const member_table& members,
                     slot& item,
                     shard_number shard,
                     action_list& out);
  void Rebalance(time_point now,
                 uint64_t unix_now,
                 const member_table& members,
                 action_list& out);

  options options_;
  std::mt19937_64 random_;
  std::vector<slot> slots_;
  bool leaving_ = false;
  time_point next_rebalance_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ONCE_SHARD_MANAGER_H_
