/// \file
/// Messages that the fleet task takes and sends.
#ifndef CUMINSWITCH_FLEET_FLEET_MESSAGE_H_
#define CUMINSWITCH_FLEET_FLEET_MESSAGE_H_

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "cuminswitch/Fleet/fleet_snapshot.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Fleet/upstream_directory.h"
#include "cuminswitch/Protocol/crash_report.h"
#include "cuminswitch/Protocol/upstream_notice.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The daemon stops: peers are told at once.
struct fleet_stop_requested {};
/// Whether the daemon takes callers.
struct readiness_changed {
  bool is_ready = false;
};
/// What this daemon's requests wait for, and what it placed since it last
/// told.
struct own_placements {
  std::vector<upstream_backlog> backlogs;
  std::vector<placed_prefix> prefixes;
  prompt_mix mix;
};
/// What upstreams told this daemon of the rate that they take.
struct own_limits {
  std::vector<limit_update> limits;
  /// As of when their ages are.
  time_point at{};
};
/// What this daemon knows of requests that may crash upstreams.
struct own_quarantine {
  /// Learnt since it last told.
  quarantine_update update;
  /// What peers may have missed.
  std::vector<crash_report> active_crashes;
  /// What has to be known also when no daemon of now is left.
  std::vector<quarantine_record> quarantined;
  /// As of when the ages are.
  time_point at{};
};
using fleet_message = std::variant<fleet_stop_requested,
                                   readiness_changed,
                                   own_placements,
                                   own_limits,
                                   own_quarantine,
                                   outgoing_quota_message>;

/// What is known of the deployment changed.
struct fleet_snapshot_changed {
  std::shared_ptr<const fleet_snapshot> snapshot;
};
/// Some of the upstreams in use changed.
struct upstreams_changed {
  std::vector<upstream_change> changes;
  /// Listed ones whose entries cannot be read.
  size_t unreadable = 0;
  /// As of this revision of the store.
  revision_number revision = 0;
};
/// The living peers, or what they say of themselves, changed.
struct peers_changed {
  std::vector<daemon_record> alive;
  /// Daemons of the deployment, dead ones and this one included.
  size_t known = 1;
  /// Those of them that may be at work, although nothing is heard of some.
  size_t possibly_active = 1;
  /// Within this time of a change all know of it.
  duration convergence_time{0};
  /// This daemon beats only some of its peers, and they pass on what it tells.
  bool is_partial = false;
};
/// What upstreams told a peer of the rate that they take.
struct peer_limits {
  std::string peer;
  std::vector<limit_update> limits;
};
/// What a peer knows of requests that may crash upstreams.
struct peer_quarantine {
  quarantine_update update;
};
/// Whether it is unknown for a while if the store holds something newer.
struct items_staleness {
  bool is_stale = false;
};
/// The upstreams whose weights are being changed just now.
struct weights_changing {
  std::vector<std::string> upstreams;
};
using fleet_event = std::variant<fleet_snapshot_changed,
                                 upstreams_changed,
                                 peers_changed,
                                 weights_changing,
                                 items_staleness,
                                 peer_placements,
                                 peer_limits,
                                 peer_quarantine,
                                 quota_query,
                                 quota_reply>;

/// The names of the services, for the kernel's registry.
inline constexpr std::string_view kFleetService = "fleet";
inline constexpr std::string_view kEdgeService = "edge";

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_FLEET_MESSAGE_H_
