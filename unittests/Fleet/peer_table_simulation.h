/// \file
/// A fleet of peer tables in virtual time.
#ifndef CUMINSWITCH_UNITTESTS_FLEET_PEER_TABLE_SIMULATION_H_
#define CUMINSWITCH_UNITTESTS_FLEET_PEER_TABLE_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/peer_table.h"

namespace cuminswitch {

/// Simulates the heartbeats of many daemons over links that delay and lose
/// packets, and may be partitioned.
class peer_table_simulation {
 public:
  struct options {
    size_t hosts = 30;
    size_t domains = 6;
    /// Share of the packets that links lose, 0 to 1. A lost packet is sent
    /// again later, and what follows on the same connection waits for it.
    double loss = 0;
    /// At the beginning all hosts know one another; otherwise they have just
    /// started.
    bool is_acquainted = true;
    uint64_t seed = 1;
  };

  explicit peer_table_simulation(const options& opts);

  /// Advances the virtual time by \p span.
  void Run(duration span);
  /// Stops a host; from then on it neither sends nor reads.
  void Kill(size_t host) { hosts_[host].is_up = false; }
  /// Starts a host that was killed, in a new incarnation.
  void Restart(size_t host);
  /// Suspends a host: until `Wake` it neither sends nor reads, and what is sent
  /// to it waits.
  void Freeze(size_t host) { hosts_[host].is_frozen = true; }
  void Wake(size_t host) { hosts_[host].is_frozen = false; }
  /// Drops the heartbeats from one host to another for which \p is_partitioned
  /// returns true.
  void SetPartition(std::function<bool(size_t, size_t)> is_partitioned) {
    is_partitioned_ = std::move(is_partitioned);
  }
  void IncrementSelfVersion(size_t host, bool is_leaving);

  /// Whether \p host regards \p other as alive.
  bool SeesAlive(size_t host, size_t other) const;
  /// Returns how many of the hosts that are up do not regard \p other as alive.
  size_t CountMissing(size_t other) const;
  /// Returns the number of ordered pairs of hosts that are up of which the
  /// first does not regard the second as alive.
  size_t CountUnseenPairs() const;
  /// Returns how many hosts know that \p other is leaving.
  size_t CountLeavingKnown(size_t other) const;
  size_t DomainOf(size_t host) const { return host % options_.domains; }
  size_t size() const { return hosts_.size(); }
  time_point now() const { return now_; }
  /// Heartbeats sent so far, the member updates in them, and the most member
  /// updates that one of them had.
  size_t heartbeat_count() const { return heartbeat_count_; }
  size_t member_update_count() const { return member_update_count_; }
  size_t max_updates_per_heartbeat() const {
    return max_updates_per_heartbeat_;
  }

 private:
  struct host {
    std::unique_ptr<peer_table> table;
    daemon_record record;
    time_point next_round{};
    bool is_up = true;
    bool is_frozen = false;
    size_t rounds = 0;
  };
  struct delivery {
    size_t from = 0;
    size_t to = 0;
    uint64_t incarnation = 0;
    heartbeat_frame heartbeat;
  };

  void Start(size_t number, uint64_t incarnation);
  void BeginRound(size_t number);
  void Send(size_t from, const endpoint& to);
  duration NextDelay();
  static std::string NameOf(size_t number);
  static endpoint AddressOf(size_t number);

  options options_;
  std::mt19937_64 random_;
  std::vector<host> hosts_;
  std::map<endpoint, size_t> by_address_;
  std::multimap<time_point, size_t> rounds_;
  std::multimap<time_point, delivery> deliveries_;
  /// When each connection, from one host to another, delivers what was sent on
  /// it last.
  std::map<std::pair<size_t, size_t>, time_point> busy_until_;
  std::function<bool(size_t, size_t)> is_partitioned_;
  time_point now_{std::chrono::seconds(1000)};
  size_t heartbeat_count_ = 0;
  size_t member_update_count_ = 0;
  size_t max_updates_per_heartbeat_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UNITTESTS_FLEET_PEER_TABLE_SIMULATION_H_
