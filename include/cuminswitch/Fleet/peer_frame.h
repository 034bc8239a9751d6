/// \file
/// What daemons tell one another on the platform. The structs are one family
/// and share this header.
#ifndef CUMINSWITCH_FLEET_PEER_FRAME_H_
#define CUMINSWITCH_FLEET_PEER_FRAME_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cuminswitch/Fleet/item_view.h"
#include "cuminswitch/Fleet/staleness_tracker.h"
#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Protocol/crash_report.h"
#include "cuminswitch/Protocol/quota_message.h"
#include "cuminswitch/Protocol/upstream_notice.h"
#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// The store was away for all daemons and is back, so that entries of upstreams
/// are missing that live.
struct store_recovery {
  /// Names the return of the store, as one daemon saw it; 0 for none.
  uint64_t event = 0;
  /// For how much longer entries may be missing.
  duration left{0};
  /// The store's at its return. What was removed later has not lapsed.
  revision_number revision = 0;

  friend bool operator==(const store_recovery&,
                         const store_recovery&) = default;
};

/// One daemon as it describes itself.
struct daemon_record {
  std::string name;
  uint64_t incarnation = 0;
  /// Grows, within one incarnation, whenever it says something else of itself.
  uint32_t version = 0;
  endpoint peer_address;
  endpoint caller_address;
  std::string failure_domain;
  /// Megabits per second of its link; 0 for not known.
  uint32_t link_rate = 0;
  /// It has a configuration and takes callers.
  bool is_ready = false;
  bool is_leaving = false;
  /// The store answered it just now.
  bool has_store = false;
  store_recovery recovery;
  /// Everything up to this revision of the store is known to it.
  revision_number revision = 0;
};

/// What one daemon tells another of a third one.
struct member_update {
  /// As the third one described itself; of one that is suspected only the name,
  /// the incarnation and the version count.
  daemon_record record;
  /// Its beats did not come.
  bool is_suspected = false;
};

/// Sent to peers all the time; the lack of beats shows that a daemon is gone.
struct heartbeat_frame {
  daemon_record sender;
  /// Peers that the sender has heard just now, so that a daemon finds others
  /// without the store.
  std::vector<endpoint> recent_peers;
  /// Upstreams whose weights the sender, as the leader, is changing.
  std::vector<std::string> changing;
  /// What the sender's requests wait for.
  std::vector<upstream_backlog> backlogs;
  /// What the sender placed since its last round of beats.
  std::vector<placed_prefix> prefixes;
  /// The sender's traffic of late.
  prompt_mix mix;
  /// What upstreams told the sender of the rate that they take.
  std::vector<limit_update> limits;
  /// What the sender knows of requests that may crash upstreams.
  quarantine_update quarantine;
  /// The receiver is to watch the sender, which beats it in every round.
  bool is_watched = false;
  std::vector<member_update> members;
  /// When the sender's items were last known to be complete.
  std::optional<freshness_record> freshness;
};

/// Asks for what changed after a revision.
struct items_request_frame {
  endpoint reply_to;
  revision_number after = 0;
};

struct items_reply_frame {
  revision_number revision = 0;
  /// All items that exist are listed; otherwise only those that changed.
  bool is_complete = false;
  std::vector<item_change> items;
};

using peer_frame = std::variant<heartbeat_frame,
                                items_request_frame,
                                items_reply_frame,
                                quota_query,
                                quota_reply>;

std::string EncodePeerFrame(const peer_frame& frame);
/// Returns nothing for bytes that are no frame.
std::optional<peer_frame> DecodePeerFrame(std::span<const uint8_t> bytes);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_PEER_FRAME_H_
