/// \file
/// Messages that the fleet task receives and sends.
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

/// The daemon is stopping; peers are notified at once.
struct fleet_stop_requested {};
/// Whether the daemon has a configuration and reaches upstreams, and which,
/// changed.
struct readiness_changed {
  bool is_ready = false;
  /// See `daemon_record::lost_services`.
  std::vector<uint64_t> lost_services;
};
/// The backlog of this daemon's requests at upstreams, its recent traffic, and
/// the prefixes that it placed since the last message of this kind.
struct own_placements {
  std::vector<upstream_backlog> backlogs;
  std::vector<placed_prefix> prefixes;
  prompt_mix mix;
};
/// This daemon's recent observations of upstreams.
struct own_observations {
  std::vector<upstream_observation> observations;
  /// The time as of which their ages are.
  time_point at{};
};
/// This daemon's report about its admissions.
struct own_admissions {
  admission_report report;
};
/// Limits that upstreams advertised to this daemon.
struct own_limits {
  /// Rate limits of upstreams, and rejection limits of services.
  std::vector<limit_update> limits;
  std::vector<limit_update> rejection_limits;
  /// All limits in force that this daemon knows, also from its peers.
  limit_record_frame known;
  /// The time as of which their ages are.
  time_point at{};
};
/// This daemon's reports of requests that may crash upstreams.
struct own_quarantine {
  /// Reports made since the last message of this kind.
  quarantine_update update;
  /// Crashes that still count, to be repeated for peers that missed a report.
  std::vector<crash_report> active_crashes;
  /// Requests to be recorded in the store, so that they remain quarantined also
  /// when all present daemons have ended.
  std::vector<quarantine_record> quarantined;
  /// The time as of which the ages are.
  time_point at{};
};
/// What this daemon knows of publications of weights.
struct own_publications {
  /// Those that it witnessed, while superseded weights may still serve.
  std::vector<weights_publication> witnessed;
  /// Upstreams have weights that were superseded at an unknown time, before
  /// this daemon started.
  bool lacks_some = false;
  friend bool operator==(const own_publications&,
                         const own_publications&) = default;
};
/// Streams of a service with several software versions began at this daemon.
struct own_origins {
  std::vector<stream_origin> origins;
};
/// The edge needs to know whether this daemon's items are complete now. It gets
/// one `items_checked` for each message of this kind.
struct items_check_requested {};
/// The process at an upstream's address rejected a request for it as meant for
/// another process, and has executed none for it since its entry came into use.
struct upstream_refuted {
  std::string upstream;
  /// See `upstream_entry::started`.
  uint64_t started = 0;
};
using fleet_message = std::variant<fleet_stop_requested,
                                   readiness_changed,
                                   own_placements,
                                   own_observations,
                                   own_admissions,
                                   own_limits,
                                   own_quarantine,
                                   own_publications,
                                   own_origins,
                                   items_check_requested,
                                   upstream_refuted,
                                   outgoing_quota_message,
                                   outgoing_concurrency_message,
                                   outgoing_origin_message>;

/// The decoded view of the store changed.
struct fleet_snapshot_changed {
  std::shared_ptr<const fleet_snapshot> snapshot;
  /// Nothing that this change brings was written before.
  time_point written_after{};
};
/// Some of the upstreams in use changed.
struct upstreams_changed {
  std::vector<upstream_change> changes;
  /// See `upstream_directory::TakeContested`.
  std::vector<upstream_ref> contested;
  /// Number of listed upstreams whose entries cannot be decoded.
  size_t unreadable = 0;
  /// Revision of the store that the changes lead to.
  revision_number revision = 0;
  /// As in `fleet_snapshot_changed`.
  time_point written_after{};
};
/// The set of peers that are alive, or the record of one of them, changed.
struct peers_changed {
  std::vector<daemon_record> alive;
  /// Number of known daemons of the deployment, failed ones and this one
  /// included.
  size_t known = 1;
  /// Number of those that are alive, or failed recently and may only be
  /// partitioned from this daemon.
  size_t possibly_active = 1;
  /// Time within which all daemons have seen a change.
  duration convergence_time{0};
  /// This daemon sends heartbeats to only some of its peers, which relay its
  /// updates.
  bool is_partial = false;
};
/// Limits that upstreams advertised to a peer.
struct peer_limits {
  std::string peer;
  std::vector<limit_update> limits;
  std::vector<limit_update> rejection_limits;
};
/// A peer's recent observations of upstreams.
struct peer_observations {
  std::string peer;
  std::vector<upstream_observation> observations;
};
/// A peer's report about its admissions.
struct peer_admissions {
  std::string peer;
  admission_report report;
};
/// A peer's reports of requests that may crash upstreams.
struct peer_quarantine {
  quarantine_update update;
};
/// Whether this daemon's items may be out of date changed: they are stale while
/// nothing has shown recently that the store holds no newer ones.
struct items_staleness {
  bool is_stale = false;
};
/// The store was asked for the changes that this daemon lacks. Events about
/// those come before.
struct items_checked {
  /// When the store was called.
  time_point called_at{};
  /// The items are complete as of `called_at`; otherwise the store did not
  /// reply, or the items cannot be compared with it.
  bool is_complete = false;
};
/// The upstreams whose weights are being changed.
struct weights_changing {
  std::vector<std::string> upstreams;
  /// Upstreams that may begin to change their weights, since they did not
  /// confirm a command.
  std::vector<std::string> unconfirmed;
  friend bool operator==(const weights_changing&,
                         const weights_changing&) = default;
};
/// When weights were published, by the records of peers or of the store.
struct learned_publications {
  std::vector<weights_publication> list;
};
using fleet_event = std::variant<fleet_snapshot_changed,
                                 upstreams_changed,
                                 peers_changed,
                                 weights_changing,
                                 learned_publications,
                                 items_staleness,
                                 items_checked,
                                 peer_placements,
                                 peer_observations,
                                 peer_admissions,
                                 peer_limits,
                                 peer_quarantine,
                                 quota_query,
                                 quota_reply,
                                 concurrency_report,
                                 concurrency_grant,
                                 origin_report,
                                 origin_query,
                                 origin_reply>;

/// Names of the services in the kernel's registry.
inline constexpr std::string_view kFleetService = "fleet";
inline constexpr std::string_view kEdgeService = "edge";

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_FLEET_MESSAGE_H_
