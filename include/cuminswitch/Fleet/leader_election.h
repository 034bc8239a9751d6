/// \file
/// Elects the daemon that sends commands to engines.
#ifndef CUMINSWITCH_FLEET_LEADER_ELECTION_H_
#define CUMINSWITCH_FLEET_LEADER_ELECTION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "cuminswitch/Fleet/item_store.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// A leader holds a leased key in the store. Times are of a clock that also
/// counts while the host is suspended (`ReadBootClock`): a leader that resumes
/// after its lease has expired must detect that before it sends a command.
class leader_election {
 public:
  struct options {
    std::string self_name;
    std::string key;
    /// Minimum time between the last command of one leader and the first
    /// command of its successor.
    duration handover_gap = std::chrono::seconds(3);
    std::chrono::milliseconds lease_time{1500};
    /// Delay of this daemon's claim, so that daemons do not claim all at once.
    duration claim_delay{0};
  };

  leader_election(options opts, item_store& store);
  ~leader_election();

  /// \p leader is the last known holder of the key; empty for none.
  void OnTick(time_point now, const std::string& leader);
  /// Whether a command may be sent now.
  bool MaySendCommand(time_point now) const;
  bool IsLeading(time_point now) const {
    return fence_ != 0 && now < valid_until_;
  }
  /// Fencing token of this term; increases with each term.
  revision_number fence() const { return fence_; }
  /// Gives up leadership for the life of this process. The lease ends at once
  /// if the store is reachable; otherwise it expires.
  void Resign();
  /// Sets whether this daemon can perform the role. While it cannot, it claims
  /// no leadership, and gives up the one that it has after a second.
  void SetEligible(time_point now, bool on);

 private:
  void Claim(time_point now);
  void OnLease(time_point called_at, const store_lease& reply);
  void Renew(time_point now);
  /// Ends the lease, and with it the leadership.
  void EndTerm();
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
  /// Since when it cannot perform the role, if it cannot.
  std::optional<time_point> ineligible_since_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_LEADER_ELECTION_H_
