/// \file
/// Which other daemons there are, and which of them live.
#ifndef CUMINSWITCH_FLEET_PEER_TABLE_H_
#define CUMINSWITCH_FLEET_PEER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Fleet/fleet_snapshot.h"
#include "cuminswitch/Fleet/member_update_queue.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Keeps the peers that the store lists, those that were heard, and those that
/// others tell of.
///
/// In a fleet that one round of beats reaches, a peer lives while its beats
/// come. A larger one is gone through in turn. There each daemon is watched by
/// a few peers that it beats in every round; one that misses its beats tells
/// others that it suspects the daemon, and they tell others. A daemon that
/// hears itself suspected says so with a new version of its record, which goes
/// the same way; one that does not is taken for gone.
///
/// Where a turn would take so long that most of what beats carry is out of date
/// before it comes, a daemon beats partners that it keeps for a while, most of
/// them of its failure domain, and what has to reach all is passed on.
class peer_table {
 public:
  struct options {
    std::string self_name;
    /// Of this daemon's process.
    uint64_t self_incarnation = 0;
    endpoint self_address;
    std::string self_domain;
    /// Where to look for the first peers; some may be stale.
    std::vector<endpoint> seeds;
  };

  /// Time between two rounds of beats. They carry what requests wait for,
  /// which changes within a few hundred milliseconds.
  static constexpr duration kHeartbeatInterval = std::chrono::milliseconds(120);

  /// A peer that is silent for so long, in a fleet that one round reaches, is
  /// taken for gone, and is out of the address answers within a second.
  static constexpr duration kFailureTimeout = std::chrono::milliseconds(800);

  explicit peer_table(options opts);

  void SetListed(std::span<const daemon_entry> daemons);
  /// Returns whether what the peer says of itself changed.
  bool OnHeartbeat(time_point now, const heartbeat_frame& beat);
  /// Whether this daemon beats only some of its peers, so that they pass on
  /// what it tells.
  bool IsPartial() const;
  /// Whom to send the next round of beats; the cost of a round is bounded.
  std::vector<endpoint> ChooseTargets(time_point now);
  /// Whether to answer a beat from \p address out of turn; if so, that counts
  /// as its turn.
  bool TryReserveReply(time_point now, const endpoint& address);
  /// Some who may listen, for what should be known at once. In a large fleet
  /// they pass it on.
  std::vector<endpoint> ListReachable(time_point now) const;
  /// The peers that live, ready or not, in the order of their names.
  std::vector<daemon_record> ListAlive(time_point now) const;
  /// What the peer \p name says of itself; null where nothing is known.
  const daemon_record* Find(const std::string& name) const;
  bool IsAlive(time_point now, const std::string& name) const;
  /// Whether, since the last call, a peer came, went, or said something else of
  /// itself.
  bool TakeChanged(time_point now);
  /// Returns the addresses of some living peers for a beat, others each time.
  std::vector<endpoint> SampleAlive(time_point now);

  /// This daemon says something else of itself from now on.
  void IncrementSelfVersion() { ++self_version_; }
  uint32_t self_version() const { return self_version_; }
  /// Whether the peer at \p address watches this daemon.
  bool IsWatcher(const endpoint& address) const {
    return watchers_.contains(address);
  }
  /// Returns the news of members for a beat to \p address.
  std::vector<member_update> TakeMemberUpdates(time_point now,
                                               const endpoint& address);
  /// Returns the names of the peers that came under suspicion since the last
  /// call.
  std::vector<std::string> TakeSuspected() {
    return std::exchange(newly_suspected_, {});
  }
  /// Whether the peer at \p address has just been heard though others hold it
  /// for gone, and is to be told.
  bool MustNotifySuspected(const endpoint& address) const {
    return to_hear_suspicion_.contains(address);
  }

  /// Returns a living peer that knows more than \p revision, or null. One that
  /// has the store comes first, then one in the own failure domain; the other
  /// way round in a fleet where each domain passes on what its own followers
  /// know. Among equals \p turn decides, and each daemon's turns differ. When
  /// all asked the one that knew most, it handed a fleet's whole list on to
  /// everybody: at 300 hosts and 3,000 upstreams 2.9 MB/s, most of it to other
  /// failure domains.
  const daemon_record* FindAhead(time_point now,
                                 revision_number revision,
                                 uint64_t turn) const;
  /// Daemons of the deployment as far as is known, this one included.
  size_t CountKnown() const;
  /// Daemons that may serve callers, this one included: those that live, and
  /// those that fell silent within the last minute. A silent one may only be
  /// cut off from here, and go on.
  size_t CountPossiblyActive(time_point now) const;
  /// Within this time of a daemon's end, or return, all have noticed it.
  duration ConvergenceTime() const;

 private:
  struct peer {
    daemon_record record;
    uint64_t name_hash = 0;
    /// When it was last known to live, by its own beat or from others.
    time_point known_at{};
    /// When it was last heard itself.
    time_point heard_at{};
    /// When its present incarnation was first known.
    time_point began_at{};
    /// Since when it is suspected, unless it has shown that it lives.
    std::optional<time_point> suspected_at;
    /// It was heard after the present version of it had been suspected.
    bool has_contradicted = false;
    /// Whether it lived at the last `TakeNews`.
    bool was_living = false;
  };
  struct address_state {
    time_point heard_at{};
    time_point tried_at{};
    /// Named by the store, a seed, or a peer.
    time_point named_at{};
    /// When it was first known.
    time_point known_at{};
    bool is_listed = false;
    /// Who said that this is its address; null where nobody did.
    const peer* owner = nullptr;
  };
  using address_map = std::map<endpoint, address_state>;
  struct partner {
    endpoint address;
    time_point since{};
    bool is_of_own_domain = false;
  };

  bool IsAlive(time_point now, const peer& item) const;
  /// Drops partners that are gone and the one that was kept longest, once its
  /// time is over, and finds others.
  void RenewPartners(time_point now);
  /// Whether \p address may become, or stay, a partner.
  bool MayBePartner(time_point now,
                    const address_state& state,
                    time_point since) const;
  void FindPartners(time_point now);
  /// Returns up to \p count living peers, others each time.
  std::vector<const peer*> NextLiving(time_point now, size_t count);
  /// Whether one round of beats does not reach all.
  bool IsLarge() const;
  duration Horizon() const;
  /// Takes in what another daemon tells of a third one.
  void OnMemberNews(time_point now, const member_update& news);
  void OnSelfNews(const member_update& news);
  /// Suspects the peers that this daemon watches and does not hear.
  void SuspectSilent(time_point now);
  /// Watches those whose watchers have all died together with them, and who
  /// cannot ask for it.
  void AdoptOrphans(time_point now);
  /// In which direction of a ring of all daemons, on which they agree: those
  /// that watch this one, or those that it watches.
  enum class ring_side : uint8_t { kWatchers, kWatched };
  /// Returns the \p count peers next to this daemon that live, are not
  /// suspected and are, or are not, of its failure domain.
  std::vector<peer*> ListNext(time_point now,
                              ring_side side,
                              bool is_of_own_domain,
                              size_t count);
  void Suspect(time_point now, peer& item);
  /// Chooses anew who watches this daemon; adds those that cease to \p targets,
  /// so that they learn it.
  void ChooseWatchers(time_point now, std::vector<endpoint>& targets);
  /// Begins a new turn through all addresses.
  void BeginTurn(time_point now);
  /// Takes the next address that is still known out of the turn; null at the
  /// turn's end.
  address_map::value_type* TakeNextInTurn(time_point now);

  options options_;
  std::map<std::string, peer> peers_;
  address_map addresses_;
  member_update_queue bulletin_;
  uint32_t self_version_ = 0;
  /// Those that may not know that they are suspected, by their addresses.
  std::map<endpoint, std::string> to_hear_suspicion_;
  std::set<endpoint> watchers_;
  /// Names of the peers that this daemon watches, with when it began to.
  std::map<std::string, time_point> watched_;
  /// Since when this daemon has run without a pause, and so would have heard
  /// those that it watches.
  time_point awake_since_{};
  time_point last_round_{};
  std::vector<partner> partners_;
  size_t next_partner_ = 0;
  time_point next_renewal_{};
  time_point next_adoption_{};
  /// When any peer was last heard.
  time_point heard_any_at_{};
  /// Peers of the own failure domain that lived at the last `TakeNews`.
  size_t own_domain_living_ = 0;
  /// The addresses still to be beaten in this turn, the next one last.
  std::vector<endpoint> turn_;
  uint64_t turn_number_ = 0;
  std::vector<std::string> newly_suspected_;
  /// The peer that was named last.
  std::string last_named_;
  bool has_news_ = false;
  /// Peers came or went since the watchers were chosen.
  bool must_choose_watchers_ = false;
  /// Peers were taken for gone since orphans were looked for.
  bool must_adopt_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_PEER_TABLE_H_
