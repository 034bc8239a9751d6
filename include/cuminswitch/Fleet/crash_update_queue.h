/// \file
/// Queue of the reports on crashes that heartbeats carry.
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

/// Sends each report to each peer once, and repeats the active crashes from
/// time to time, for a peer that missed a report or started later. If each
/// heartbeat carried all reports, those of a crash with many requests
/// in flight would take up links that requests need.
class crash_update_queue {
 public:
  void Add(const own_quarantine& own);
  /// Queues the reports that a peer sent, except those that were relayed
  /// before.
  void Relay(time_point now, const quarantine_update& received);
  /// Returns the reports for the next heartbeat to \p peer, with their ages at
  /// \p now, and counts them as sent.
  quarantine_update TakeFor(time_point now, const endpoint& peer);

 private:
  /// A report with the time as of which its age is.
  template <class Report>
  struct timed {
    Report report;
    time_point at{};
  };
  static constexpr size_t kCapacity = 64;

  /// Records that a report on \p request at \p upstream (0 for none) of the
  /// time \p at is relayed. Returns false where it was relayed before, or where
  /// too many were relayed recently.
  bool NoteRelayed(const hash128& request, uint64_t upstream, time_point at);

  peer_update_log<timed<crash_report>, kCapacity> crashes_;
  peer_update_log<timed<completion_report>, kCapacity> completions_;
  peer_update_log<timed<response_report>, kCapacity> responses_;
  /// Time of the event last relayed, by request and upstream.
  std::map<std::pair<hash128, uint64_t>, time_point> relayed_;
  /// Active crashes of this daemon, with ages as of `active_at_`.
  std::vector<crash_report> active_;
  time_point active_at_{};
  /// When the active crashes were last sent to each peer.
  std::map<endpoint, time_point> active_sent_at_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_CRASH_UPDATE_QUEUE_H_
