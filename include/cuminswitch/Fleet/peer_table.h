/// \file
/// The daemons that this one knows of, and which of them are alive.
#ifndef CUMINSWITCH_FLEET_PEER_TABLE_H_
#define CUMINSWITCH_FLEET_PEER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cuminswitch/Fleet/fleet_snapshot.h"
#include "cuminswitch/Fleet/member_update_queue.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Holds the peers that the store lists, those that heartbeats were received
/// from, and those that other peers report.
///
/// In a fleet small enough for one heartbeat round, a peer is alive while its
/// heartbeats arrive. A larger fleet is covered in rotation, over several
/// rounds. There each daemon has a few monitors, to which it sends a heartbeat
/// in every round; a monitor that misses these heartbeats reports the daemon as
/// suspect, and the report is gossiped. A daemon that learns that it is
/// suspected refutes this with a new version of its record, which is gossiped
/// as well; one that does not is regarded as failed.
///
/// Where a rotation would take so long that most of what heartbeats carry would
/// be out of date on arrival (a partial fleet), a daemon sends its heartbeats
/// to gossip partners, most of them in its failure domain, which it keeps for a
/// while; what has to reach all daemons is relayed.
class peer_table {
 public:
  struct options {
    std::string self_name;
    /// Incarnation of this daemon's process.
    uint64_t self_incarnation = 0;
    endpoint self_address;
    std::string self_domain;
    /// Addresses for finding the first peers; some may be stale.
    std::vector<endpoint> seeds;
  };

  /// Time between two heartbeat rounds. Heartbeats carry the backlog of
  /// requests at upstreams, which changes within a few hundred milliseconds.
  static constexpr duration kHeartbeatInterval = std::chrono::milliseconds(120);

  /// In a fleet that one round reaches, a peer without a heartbeat for longer
  /// than this is regarded as failed. It is then out of the replies to address
  /// queries within a second.
  static constexpr duration kFailureTimeout = std::chrono::milliseconds(800);

  explicit peer_table(options opts);

  /// Replaces the daemons that the store lists.
  void SetListed(std::span<const daemon_entry> daemons);
  /// Returns whether the sender's record changed, or it was not alive before.
  bool OnHeartbeat(time_point now, const heartbeat_frame& heartbeat);
  /// Whether this daemon sends heartbeats to only some of its peers, so that
  /// its updates have to be relayed.
  bool IsPartial() const;
  /// Returns the receivers of the next heartbeat round. Their number is bounded
  /// whatever the size of the fleet.
  std::vector<endpoint> ChooseTargets(time_point now);
  /// Whether a heartbeat from \p address may be replied to at once, outside the
  /// rounds. If so, the reply counts as the heartbeat that is due there.
  bool TryReserveReply(time_point now, const endpoint& address);
  /// Returns peers that are likely to be reachable, for updates that cannot
  /// wait for the next round. In a partial fleet they relay them.
  std::vector<endpoint> ListReachable(time_point now) const;
  /// Returns the peers that are alive, ready or not, in the order of their
  /// names.
  std::vector<daemon_record> ListAlive(time_point now) const;
  /// Returns the record of the peer \p name; null where none is known.
  const daemon_record* Find(const std::string& name) const;
  bool IsAlive(time_point now, const std::string& name) const;
  /// Whether, since the last call, a peer was found alive or failed, or its
  /// record changed.
  bool TakeChanged(time_point now);
  /// Returns the addresses of a few peers that are alive, to be advertised in a
  /// heartbeat; each call continues after the last one's.
  std::vector<endpoint> SampleAlive(time_point now);

  /// To be called when this daemon's record changes.
  void IncrementSelfVersion() { ++self_version_; }
  uint32_t self_version() const { return self_version_; }
  /// Whether the peer at \p address is a monitor of this daemon.
  bool IsWatcher(const endpoint& address) const {
    return watchers_.contains(address);
  }
  /// Returns the member updates for a heartbeat to \p address, and counts them
  /// as sent.
  std::vector<member_update> TakeMemberUpdates(time_point now,
                                               const endpoint& address);
  /// Returns the names of the peers that became suspect since the last call.
  std::vector<std::string> TakeSuspected() {
    return std::exchange(newly_suspected_, {});
  }
  /// Whether a heartbeat came from the peer at \p address although it is
  /// suspected, so that it must be notified to refute this.
  bool MustNotifySuspected(const endpoint& address) const {
    return must_notify_suspected_.contains(address);
  }

  /// Returns a peer that is alive and has items newer than \p revision, or
  /// null. Peers that reach the store are preferred, then those of this
  /// daemon's failure domain; in a partial fleet, where each domain gets the
  /// items from its own followers, the domain comes first. The choice among
  /// equals depends on \p request_number, and differs between daemons. If all
  /// daemons asked the peer with the newest items, it would send the fleet's
  /// whole list to each of them: 2.9 MB/s at 300 hosts and 3,000 upstreams,
  /// most of it to other failure domains. The peer \p last_resort is chosen
  /// only if no other one has them.
  const daemon_record* FindAhead(time_point now,
                                 revision_number revision,
                                 uint64_t request_number,
                                 std::string_view last_resort = {}) const;
  /// Returns the number of known daemons of the deployment, alive or not, this
  /// one included.
  size_t CountKnown() const;
  /// Returns the number of daemons that may be serving callers, this one
  /// included: those that are alive, and those that failed within the last
  /// minute, which may only be partitioned from this daemon.
  size_t CountPossiblyActive(time_point now) const;
  /// Returns the time within which all daemons have seen that one failed or
  /// recovered.
  duration ConvergenceTime() const;

 private:
  struct peer {
    daemon_record record;
    uint64_t name_hash = 0;
    /// When it was last known to be alive, from its own heartbeat or from an
    /// update that another peer relayed.
    time_point alive_at{};
    /// When its own last heartbeat arrived.
    time_point last_seen_at{};
    /// When its present incarnation was first seen.
    time_point started_at{};
    /// Since when it is suspected; none where it has refuted this.
    std::optional<time_point> suspected_at;
    /// A heartbeat came from it after its present version had been suspected.
    bool has_refuted = false;
    /// Whether it was alive at the last `TakeChanged`.
    bool was_alive = false;
  };
  struct address_state {
    time_point last_seen_at{};
    /// When it was last chosen for a heartbeat, a reply or as a partner.
    time_point last_contacted_at{};
    /// When a peer last advertised it or sent a record with it.
    time_point advertised_at{};
    /// When it was first taken from a rotation.
    time_point first_known_at{};
    /// The store or the seeds list it.
    bool is_listed = false;
    /// The peer whose record has this address; null where none has.
    const peer* owner = nullptr;
  };
  using address_map = std::map<endpoint, address_state>;
  /// A gossip partner.
  struct partner {
    endpoint address;
    time_point added_at{};
    bool is_of_own_domain = false;
  };

  bool IsAlive(time_point now, const peer& item) const;
  /// Removes the partners that failed and, once its lifetime is over, the
  /// oldest one; adds others.
  void RefreshPartners(time_point now);
  /// Whether the address of \p state may become a partner, or stay the one that
  /// it has been since \p added_at.
  bool CanBePartner(time_point now,
                    const address_state& state,
                    time_point added_at) const;
  void AddPartners(time_point now);
  /// Returns up to \p count peers that are alive; each call continues after the
  /// last one's.
  std::vector<const peer*> NextAlive(time_point now, size_t count);
  /// Whether the fleet is too large for one heartbeat round.
  bool IsLarge() const;
  /// Time after which a peer without a sign of life is regarded as failed, in a
  /// fleet that is not partial.
  duration FailureTimeout() const;
  /// Applies an update that one peer sent of another.
  void OnMemberUpdate(time_point now, const member_update& update);
  /// Refutes the suspicion of this daemon, if \p update says so.
  void OnSelfUpdate(const member_update& update);
  /// Suspects the monitored peers whose heartbeats did not arrive.
  void SuspectUnresponsive(time_point now);
  /// Monitors the neighbors on the ring, whose monitors may all have failed
  /// together with them, so that they could not choose new ones.
  void AdoptUnmonitored(time_point now);
  /// Direction on the ring of all daemons, whose order is the same for each of
  /// them: towards the monitors of this daemon, or towards the peers that it
  /// monitors.
  enum class ring_side : uint8_t { kWatchers, kWatched };
  /// Returns up to \p count peers next to this daemon on the ring that are
  /// alive, not suspected and, as \p is_of_own_domain says, in its failure
  /// domain or in another one.
  std::vector<peer*> ListRingNeighbors(time_point now,
                                       ring_side side,
                                       bool is_of_own_domain,
                                       size_t count);
  void Suspect(time_point now, peer& item);
  /// Chooses the monitors of this daemon again where peers changed. Adds the
  /// former ones to \p targets, so that a heartbeat informs them that they are
  /// none any more.
  void ChooseWatchers(time_point now, std::vector<endpoint>& targets);
  /// Begins a new rotation through all addresses; forgets stale ones.
  void BeginRotation(time_point now);
  /// Takes the next address that is still known from the rotation; null at its
  /// end.
  address_map::value_type* TakeNextInRotation(time_point now);

  options options_;
  std::map<std::string, peer> peers_;
  address_map addresses_;
  member_update_queue member_updates_;
  uint32_t self_version_ = 0;
  /// Names, by address, of suspected peers that sent a heartbeat and may not
  /// know that they are suspected.
  std::map<endpoint, std::string> must_notify_suspected_;
  /// Addresses of the monitors of this daemon.
  std::set<endpoint> watchers_;
  /// Names of the peers that this daemon monitors, with when it began to.
  std::map<std::string, time_point> watched_;
  /// Since when this daemon has run without a pause, so that it would have read
  /// the heartbeats of the peers that it monitors.
  time_point running_since_{};
  time_point last_round_{};
  std::vector<partner> partners_;
  size_t next_partner_ = 0;
  time_point next_partner_change_{};
  time_point next_adoption_{};
  /// When the last heartbeat of any peer arrived.
  time_point last_heartbeat_at_{};
  /// Number of peers in this daemon's failure domain that were alive at the
  /// last `TakeChanged`.
  size_t own_domain_alive_ = 0;
  /// The addresses left in this rotation, the next one last.
  std::vector<endpoint> rotation_;
  uint64_t rotation_number_ = 0;
  std::vector<std::string> newly_suspected_;
  /// Name of the peer that `NextAlive` returned last.
  std::string last_sampled_;
  bool has_changed_ = false;
  /// Peers changed since the monitors were chosen.
  bool must_choose_watchers_ = false;
  /// Suspected peers failed since the last call of `AdoptUnmonitored`.
  bool must_adopt_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_PEER_TABLE_H_
