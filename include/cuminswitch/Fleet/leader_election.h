/// \file
/// Which daemon gives orders to engines.
#ifndef CUMINSWITCH_FLEET_LEADER_ELECTION_H_
#define CUMINSWITCH_FLEET_LEADER_ELECTION_H_

#include <cstdint>
#include <memory>
#include <string>

#include "cuminswitch/Fleet/item_store.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Holds a leased key of the store while it leads. Times are of a clock that
/// counts while the host is suspended: a leader that wakes up after its lease
/// has ended must see that before it sends anything.
class leader_election {
 public:
  struct options {
    std::string self_name;
    std::string key;
    /// No two leaders may send within this time of each other.
    duration handover_gap = std::chrono::seconds(3);
    std::chrono::milliseconds lease_time{1500};
    /// Delays this daemon's claim, so that not all claim at once.
    duration claim_delay{0};
  };

  leader_election(options opts, item_store& store);
  ~leader_election();

  /// \p leader is who holds the key, as far as is known; empty for nobody.
  void OnTick(time_point now, const std::string& leader);
  /// Whether an order may be sent now.
  bool MaySendCommand(time_point now) const;
  bool IsLeading(time_point now) const {
    return fence_ != 0 && now < valid_until_;
  }
  /// Grows from leader to leader.
  revision_number fence() const { return fence_; }
  /// Gives up the lead; the lease ends at once if the store is reached.
  void Resign();

 private:
  void Claim(time_point now);
  void OnLease(time_point asked_at, const store_lease& answer);
  void Renew(time_point now);
  void DropLeadership();

  options options_;
  item_store& store_;
  lease_number lease_ = 0;
  revision_number fence_ = 0;
  time_point valid_until_{};
  time_point commands_allowed_from_{};
  time_point vacant_since_{};
  time_point next_call_{};
  time_point now_{};
  bool is_calling_ = false;
  bool has_resigned_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_LEADER_ELECTION_H_
