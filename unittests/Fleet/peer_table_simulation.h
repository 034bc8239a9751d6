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

/// Plays the beats of many daemons over links that delay, lose and are cut.
class peer_table_simulation {
 public:
  struct options {
    size_t hosts = 30;
    size_t domains = 6;
    /// Part of the packets that links lose; what is lost comes again later, and
    /// what was sent after it on the same connection waits.
    double loss = 0;
    /// All have heard of all when it begins; else they have just started.
    bool is_acquainted = true;
    uint64_t seed = 1;
  };

  explicit peer_table_simulation(const options& opts);

  /// Plays for \p span.
  void Run(duration span);
  /// Stops a host; it sends and reads nothing any more.
  void Kill(size_t host) { hosts_[host].is_up = false; }
  /// Starts a host that was killed, in a new incarnation.
  void Restart(size_t host);
  /// It neither sends nor reads until it is woken; what it was sent waits.
  void Freeze(size_t host) { hosts_[host].is_frozen = true; }
  void Wake(size_t host) { hosts_[host].is_frozen = false; }
  /// No beats pass between hosts for which \p is_cut says so.
  void SetCut(std::function<bool(size_t, size_t)> is_cut) {
    is_cut_ = std::move(is_cut);
  }
  void IncrementSelfVersion(size_t host, bool is_leaving);

  /// Whether \p host holds \p other for living.
  bool Sees(size_t host, size_t other) const;
  /// How many of the hosts that are up do not hold \p other for living.
  size_t CountMissing(size_t other) const;
  /// How many pairs of hosts that are up do not see one another.
  size_t CountUnseen() const;
  /// Hosts that know that \p other leaves.
  size_t CountLeavingKnown(size_t other) const;
  size_t DomainOf(size_t host) const { return host % options_.domains; }
  size_t size() const { return hosts_.size(); }
  time_point now() const { return now_; }
  /// Beats sent so far, and news of members in them.
  size_t beats() const { return beats_; }
  size_t member_news_count() const { return member_news_; }
  size_t most_news_in_a_beat() const { return most_news_; }

 private:
  struct host {
    std::unique_ptr<peer_table> roster;
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
    heartbeat_frame beat;
  };

  void Start(size_t number, uint64_t incarnation);
  void BeginRound(size_t number);
  void Send(size_t from, const endpoint& to);
  duration Delay();
  static std::string NameOf(size_t number);
  static endpoint AddressOf(size_t number);

  options options_;
  std::mt19937_64 random_;
  std::vector<host> hosts_;
  std::map<endpoint, size_t> by_address_;
  std::multimap<time_point, size_t> rounds_;
  std::multimap<time_point, delivery> deliveries_;
  /// Until when each connection delivers what was sent on it.
  std::map<std::pair<size_t, size_t>, time_point> busy_until_;
  std::function<bool(size_t, size_t)> is_cut_;
  time_point now_{std::chrono::seconds(1000)};
  size_t beats_ = 0;
  size_t member_news_ = 0;
  size_t most_news_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UNITTESTS_FLEET_PEER_TABLE_SIMULATION_H_
