/// \file
/// Daemons that learn changes of the store, in virtual time.
#ifndef CUMINSWITCH_UNITTESTS_FLEET_STORE_FLEET_H_
#define CUMINSWITCH_UNITTESTS_FLEET_STORE_FLEET_H_

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Fleet/staleness_tracker.h"
#include "cuminswitch/Fleet/store_follower_policy.h"

namespace cuminswitch {

/// Plays who follows the store, and how changes and evidence reach the others.
/// All daemons live, and hear one another unless they are cut off.
class store_fleet {
 public:
  /// What becomes of calls that the store does not serve.
  enum class fault { kRefusing, kUnresponsive };

  store_fleet(size_t daemons, size_t domains, fault kind);

  void Run(duration span);
  /// Turns \p number away from the store, or serves it again.
  void SetStoreReachable(size_t number, bool reaches_store);
  /// Cuts \p number off from all others.
  void Partition(size_t number) { daemons_[number].is_partitioned = true; }
  /// Those that follow the store now.
  std::set<size_t> Followers() const;
  /// Changes an item; returns the time until the last daemon that reaches the
  /// store knows, at most \p most.
  duration ConvergenceTime(duration most);
  size_t calls() const { return calls_; }

 private:
  struct daemon {
    staleness_tracker staleness{0};
    store_follower_policy duty;
    revision_number revision = 0;
    bool reaches_store = true;
    bool is_partitioned = false;
    bool follows = true;
    bool is_calling = false;
    duration pause{0};
    time_point last_reply_at{};
    time_point last_failure_at{};
    /// When the call under way ends, or the next one begins.
    time_point next_call{};
    time_point next_round{};
    size_t turn = 0;
  };

  void Step(size_t number);
  void Call(daemon& self);
  void SendHeartbeats(size_t number);

  std::vector<daemon> daemons_;
  /// Each daemon ranks itself behind none, so that one list serves all.
  std::vector<daemon_record> living_;
  fault fault_;
  revision_number revision_ = 1;
  time_point now_{std::chrono::seconds(1000)};
  size_t calls_ = 0;
  std::mt19937_64 random_{5};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UNITTESTS_FLEET_STORE_FLEET_H_
