/// \file
/// What each beat tells of requests that may crash upstreams.
#ifndef CUMINSWITCH_FLEET_CRASH_UPDATE_QUEUE_H_
#define CUMINSWITCH_FLEET_CRASH_UPDATE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "cuminswitch/Fleet/fleet_message.h"
#include "cuminswitch/Fleet/peer_update_log.h"

namespace cuminswitch {

/// Tells each peer every news once, and what stands now and then: a peer may
/// have missed news, or have started since. Each beat would otherwise carry the
/// news of a great crash to all peers, over links that requests need.
class crash_update_queue {
 public:
  void Add(const own_quarantine& own);
  /// Tells on what a peer told, unless it was told on before.
  void Relay(time_point now, const quarantine_update& told);
  /// What the next beat to \p peer tells.
  quarantine_update TakeFor(time_point now, const endpoint& peer);

 private:
  /// News, with when their age was taken.
  template <class News>
  struct dated {
    News news;
    time_point at{};
  };
  static constexpr size_t kCapacity = 64;

  /// Notes that something of \p request at \p upstream (0 for none), of \p at,
  /// is told on; returns whether that is new.
  bool NoteRelayed(const hash128& request, uint64_t upstream, time_point at);

  peer_update_log<dated<crash_report>, kCapacity> crashes_;
  peer_update_log<dated<completion_report>, kCapacity> completions_;
  /// When what was told on last happened, by request and upstream.
  std::map<std::pair<hash128, uint64_t>, time_point> relayed_;
  std::vector<crash_report> standing_;
  time_point standing_at_{};
  /// When each peer was last told what stands.
  std::map<endpoint, time_point> told_standing_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_CRASH_UPDATE_QUEUE_H_
