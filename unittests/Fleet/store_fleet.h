/// \file
/// Simulation, in virtual time, of daemons that receive changes of the store.
#ifndef CUMINSWITCH_UNITTESTS_FLEET_STORE_FLEET_H_
#define CUMINSWITCH_UNITTESTS_FLEET_STORE_FLEET_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Fleet/staleness_tracker.h"
#include "cuminswitch/Fleet/store_follower_policy.h"

namespace cuminswitch {

/// Simulates which daemons follow the store, and how changes and freshness
/// records reach the others. All daemons are alive, and receive each other's
/// heartbeats unless they are partitioned.
class store_fleet {
 public:
  /// How calls fail that do not reach the store.
  enum class fault { kRefusing, kUnresponsive };

  store_fleet(size_t daemons, size_t domains, fault kind);

  void Run(duration span);
  /// Sets whether the daemon \p number reaches the store.
  void SetStoreReachable(size_t number, bool reaches_store);
  /// Partitions the daemon \p number from all others.
  void Partition(size_t number) { daemons_[number].is_partitioned = true; }
  /// Returns the daemons that follow the store now.
  std::set<size_t> Followers() const;
  /// Changes an item, and returns the time until all daemons that reach the
  /// store have the change, at most \p max_time.
  duration ConvergenceTime(duration max_time);
  /// Returns the latest time before which, as far as any daemon knows, the last
  /// change was not made, relative to the change.
  duration LatestBoundOnChange() const;
  size_t calls() const { return calls_; }

 private:
  struct daemon {
    staleness_tracker staleness{0};
    store_follower_policy policy;
    revision_number revision = 0;
    /// The last change was not made before.
    time_point changed_after{};
    bool reaches_store = true;
    bool is_partitioned = false;
    bool follows = true;
    bool is_calling = false;
    duration retry_delay{0};
    time_point last_reply_at{};
    time_point last_failure_at{};
    /// End of the call in progress, or start of the next one.
    time_point next_call{};
    time_point next_round{};
    size_t rotation = 0;
  };

  /// A heartbeat on its way.
  struct heartbeat {
    time_point arrives_at{};
    size_t to = 0;
    std::optional<freshness_record> freshness;
    revision_number revision = 0;
  };

  void Step(size_t number);
  void DeliverHeartbeats();
  void Call(daemon& self);
  /// Applies the changes up to \p revision at \p self.
  static void SetRevision(daemon& self, revision_number revision);
  void SendHeartbeats(size_t number);

  std::vector<daemon> daemons_;
  /// In the order of arrival.
  std::deque<heartbeat> in_transit_;
  /// All daemons. One list serves as the peers of each, since a daemon does not
  /// rank before itself.
  std::vector<daemon_record> alive_;
  fault fault_;
  revision_number revision_ = 1;
  time_point changed_at_{};
  time_point now_{std::chrono::seconds(1000)};
  size_t calls_ = 0;
  std::mt19937_64 random_{5};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UNITTESTS_FLEET_STORE_FLEET_H_
