/// \file
/// Messages between the daemons of a deployment on the platform. The structs
/// are one family and share this header.
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
#include "cuminswitch/Protocol/admission_report.h"
#include "cuminswitch/Protocol/concurrency_message.h"
#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Protocol/crash_report.h"
#include "cuminswitch/Protocol/quota_message.h"
#include "cuminswitch/Protocol/stream_origin.h"
#include "cuminswitch/Protocol/upstream_notice.h"
#include "cuminswitch/Protocol/upstream_observation.h"
#include "cuminswitch/Protocol/weights_publication.h"
#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// Grace period after an outage of the store for all daemons: entries of
/// upstreams that are alive may be missing, since their heartbeats to the store
/// could not arrive.
struct store_recovery {
  /// Identifies the recovery of the store, as one daemon saw it; 0 for none.
  uint64_t event = 0;
  /// Time for which entries may still be missing.
  duration left{0};
  /// Revision of the store at its recovery. Entries removed later did not
  /// expire during the outage.
  revision_number revision = 0;

  friend bool operator==(const store_recovery&,
                         const store_recovery&) = default;
};

/// One daemon as it describes itself.
struct daemon_record {
  std::string name;
  uint64_t incarnation = 0;
  /// Incremented, within one incarnation, whenever the record changes.
  uint32_t version = 0;
  endpoint peer_address;
  endpoint caller_address;
  std::string failure_domain;
  /// Rate of its link in megabits per second; 0 where unknown.
  uint32_t link_rate = 0;
  /// It has a configuration and reaches upstreams.
  bool is_ready = false;
  /// Hashes of the names of the services of which it reaches no upstream,
  /// though it reaches others.
  std::vector<uint64_t> lost_services;
  /// It is stopping. Callers get other addresses, but it serves what arrives.
  bool is_leaving = false;
  /// It got a reply of the store recently.
  bool has_store = false;
  /// It understands messages about the origins of streams.
  bool tracks_streams = false;
  /// It understands messages about upstreams' concurrency and records of
  /// origins.
  bool shares_concurrency = false;
  store_recovery recovery;
  /// It has all changes of the store up to this revision.
  revision_number revision = 0;
};

/// State of one daemon as gossiped between two others.
struct member_update {
  /// The record as that daemon sent it; where it is suspected, only the name,
  /// the incarnation and the version are set.
  daemon_record record;
  /// A monitor missed its heartbeats.
  bool is_suspected = false;
};

/// Sent to peers periodically; the lack of heartbeats shows that a daemon has
/// failed.
struct heartbeat_frame {
  daemon_record sender;
  /// Some of the peers that the sender knows to be alive, so that daemons find
  /// one another without the store.
  std::vector<endpoint> recent_peers;
  /// Upstreams whose weights the sender, as the leader, is changing.
  std::vector<std::string> changing;
  /// Upstreams that did not confirm the sender's command to do so.
  std::vector<std::string> unconfirmed;
  /// Prompt tokens of the sender's requests that wait at upstreams.
  std::vector<upstream_backlog> backlogs;
  /// Prefixes that the sender placed at upstreams since its last heartbeat to
  /// the receiver.
  std::vector<placed_prefix> prefixes;
  /// The sender's recent traffic.
  prompt_mix mix;
  /// Rate limits that upstreams advertised to the sender.
  std::vector<limit_update> limits;
  /// Rejection limits that services advertised to the sender.
  std::vector<limit_update> rejection_limits;
  /// Crash and completion reports of requests that may crash upstreams.
  quarantine_update quarantine;
  /// The receiver is to monitor the sender, which sends it a heartbeat in every
  /// round.
  bool is_watched = false;
  std::vector<member_update> members;
  /// When the sender's items were last known to be up to date.
  std::optional<freshness_record> freshness;
  /// The sender started after a publication of weights, and does not know when
  /// that was.
  bool lacks_publications = false;
  /// Publications that the sender witnessed, for a receiver that lacks them.
  std::vector<publication_report> publications;
  /// The sender's recent observations of upstreams.
  std::vector<upstream_observation> observations;
  admission_report admissions;
};

/// Requests the items that changed after a revision.
struct items_request_frame {
  endpoint reply_to;
  revision_number after = 0;
};

struct items_reply_frame {
  /// Revision of the store up to which the reply goes.
  revision_number revision = 0;
  /// `items` holds all existing items; otherwise only those that changed.
  bool is_complete = false;
  std::vector<item_change> items;
};

/// Origins of streams that the leader is to record in the store; also the value
/// of a record.
struct origin_record_frame {
  std::vector<stream_origin> origins;
};

/// The value of the record of the limits that upstreams and services advertise.
struct limit_record_frame {
  std::vector<limit_update> limits;
  std::vector<limit_update> rejection_limits;

  bool IsEmpty() const { return limits.empty() && rejection_limits.empty(); }
};

using peer_frame = std::variant<heartbeat_frame,
                                items_request_frame,
                                items_reply_frame,
                                quota_query,
                                quota_reply,
                                origin_report,
                                origin_query,
                                origin_reply,
                                concurrency_report,
                                concurrency_grant,
                                origin_record_frame,
                                limit_record_frame>;

std::string EncodePeerFrame(const peer_frame& frame);
/// Returns `std::nullopt` for bytes that are not a valid frame.
std::optional<peer_frame> DecodePeerFrame(std::span<const uint8_t> bytes);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_PEER_FRAME_H_
