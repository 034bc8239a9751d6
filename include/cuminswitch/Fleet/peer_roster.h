/// \file
/// Which other daemons there are, and which of them live.
#ifndef CUMINSWITCH_FLEET_PEER_ROSTER_H_
#define CUMINSWITCH_FLEET_PEER_ROSTER_H_

#include <map>
#include <span>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/fleet_knowledge.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Keeps the peers that the store lists, those that were heard, and those that
/// others have heard. A peer lives while its beats come.
class peer_roster {
 public:
  struct options {
    std::string self_name;
    endpoint self_address;
    std::string self_domain;
    /// Where to look for the first peers; some may be stale.
    std::vector<endpoint> seeds;
  };

  /// Time between two rounds of beats. They carry what requests wait for,
  /// which changes within a few hundred milliseconds.
  static constexpr duration kBeatInterval = std::chrono::milliseconds(120);

  /// A peer that is silent for so long, in a fleet that one round reaches, is
  /// taken for gone, and is out of the address answers within a second.
  static constexpr duration kLivingTime = std::chrono::milliseconds(800);

  explicit peer_roster(options opts);

  void SetListed(std::span<const daemon_entry> daemons);
  /// Returns whether what the peer says of itself changed.
  bool OnBeat(time_point now, const beat_frame& beat);
  /// Whom to send the next round of beats; the cost of a round is bounded.
  std::vector<endpoint> ChooseTargets(time_point now);
  /// Whether to answer a beat from \p address out of turn; if so, that counts
  /// as its turn.
  bool TakeAnswerTurn(time_point now, const endpoint& address);
  /// Everybody who may listen, for what must be known at once.
  std::vector<endpoint> ListReachable(time_point now) const;
  /// The peers that live, ready or not, in the order of their names.
  std::vector<daemon_record> ListLiving(time_point now) const;
  /// Whether, since the last call, a peer came, went, or said something else of
  /// itself.
  bool TakeNews(time_point now);
  /// Returns the addresses of up to \p count living peers, others each time.
  std::vector<endpoint> NameLiving(time_point now, size_t count);
  /// Returns a living peer that knows more than \p revision, or null. One that
  /// has the store comes first, then one in the own failure domain; among
  /// equals \p turn decides, and each daemon's turns differ. When all asked the
  /// one that knew most, it handed a fleet's whole list on to everybody: at 300
  /// hosts and 3,000 upstreams 2.9 MB/s, most of it to other failure domains.
  const daemon_record* FindAhead(time_point now,
                                 revision_number revision,
                                 uint64_t turn) const;
  /// Daemons of the deployment as far as is known, this one included.
  size_t CountKnown() const;
  /// Daemons that may serve callers, this one included: those that live, and
  /// those that fell silent within the last minute. A silent one may only be
  /// cut off from here, and go on.
  size_t CountMaybeAtWork(time_point now) const;
  /// Within this time of a daemon's end, or return, all have noticed it.
  duration NoticeTime() const { return Horizon() + kLivingTime; }

 private:
  struct peer {
    daemon_record record;
    time_point heard_at{};
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
  };

  bool IsLiving(time_point now, const peer& item) const;
  duration Horizon() const;

  options options_;
  std::map<std::string, peer> peers_;
  std::map<endpoint, address_state> addresses_;
  size_t next_target_ = 0;
  /// The peer that was named last.
  std::string last_named_;
  bool has_news_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_PEER_ROSTER_H_
