/// \file
/// The task that knows the deployment.
#ifndef CUMINSWITCH_FLEET_FLEET_TASK_H_
#define CUMINSWITCH_FLEET_FLEET_TASK_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/crash_update_queue.h"
#include "cuminswitch/Fleet/fleet_message.h"
#include "cuminswitch/Fleet/item_list_cache.h"
#include "cuminswitch/Fleet/item_watcher.h"
#include "cuminswitch/Fleet/items_request_tracker.h"
#include "cuminswitch/Fleet/leader_election.h"
#include "cuminswitch/Fleet/peer_table.h"
#include "cuminswitch/Fleet/peer_update_log.h"
#include "cuminswitch/Fleet/quarantine_records.h"
#include "cuminswitch/Fleet/staleness_tracker.h"
#include "cuminswitch/Fleet/store_follower_policy.h"
#include "cuminswitch/Fleet/store_outage_tracker.h"
#include "cuminswitch/Fleet/upstream_directory.h"
#include "cuminswitch/Fleet/weights_rollout.h"
#include "cuminswitch/Kernel/loop_task.h"
#include "cuminswitch/Log/list_changes.h"
#include "cuminswitch/Net/peer_transport.h"

namespace cuminswitch {

class engine_control;
class event_log;
class kernel;

/// Follows the store, talks to peers, and, while it leads, brings engines to
/// the wanted weights. Its news go to the edge.
class fleet_task : public loop_task<fleet_message>, public peer_frame_handler {
 public:
  struct options {
    daemon_record self;
    std::vector<endpoint> seeds;
    /// Where this daemon lists itself, and where leaders hold their lease.
    std::string daemons_prefix;
    std::string leader_key;
    /// Where requests are listed that are kept away from upstreams.
    std::string quarantine_prefix;
    /// No two leaders may send orders within this time of each other.
    duration leader_gap = std::chrono::seconds(3);
    /// Between two signs of an upstream to the store.
    duration upstream_interval = std::chrono::milliseconds(1200);
  };
  /// What the task works with; all of it outlives the task.
  struct parts {
    item_store& store;
    fleet_snapshot_decoder& decoder;
    engine_control& engines;
    event_log& log;
  };

  fleet_task(event_base* base,
             const kernel& services,
             options opts,
             const parts& with);

  std::string_view Name() const override { return kFleetService; }
  void Start() override;
  void Stop() override;

 protected:
  void Receive(fleet_message message) override;

 private:
  bool OnFrame(std::span<const uint8_t> frame) override;
  void OnHeartbeatFrame(const heartbeat_frame& beat);
  void OnItemsRequest(const items_request_frame& request);
  void OnItemsReply(const items_reply_frame& reply);

  void OnTick();
  void OnItemsChanged(std::span<const std::string> keys);
  void Publish(std::shared_ptr<const fleet_snapshot> next);
  void PublishUpstreams();
  void UpdateFollowing(time_point now);
  void RegisterSelf();
  /// Writes down which requests crash upstreams.
  void RecordQuarantines(time_point now);
  void SendHeartbeat(const endpoint& to);
  void BroadcastHeartbeat();
  void RequestItems(time_point now);
  /// Tells the edge of peers that came, went or say something else of
  /// themselves, but not more often than a daemon can work through it: in a
  /// fleet that starts each beat is news.
  void PublishPeers(time_point now);
  /// Tells the edge and the log when the items become stale, and when they are
  /// current again.
  void PublishStaleness(time_point now);
  /// Notes for the log how \p living differs from what was published.
  void RecordPeerChanges(std::span<const daemon_record> living);
  /// Tells the log what changed in the lists of peers and upstreams.
  void LogListChanges(time_point now);
  /// Tells the log of a return of the store after which entries may be missing.
  void LogStoreRecovery(time_point now);
  /// Tells the log which peers came under suspicion, and when this daemon said
  /// something new of itself, as it does when it is suspected.
  void LogSuspicions();
  void PublishChanging();
  void RunRollout(time_point now);
  void Perform(const rollout_step& step);
  void OnEngineReport(const rollout_step& step,
                      const std::optional<engine_report>& report);

  const kernel& services_;
  options options_;
  parts parts_;
  peer_table peer_table_;
  item_watcher item_watcher_;
  leader_election election_;
  weights_rollout rollout_;
  staleness_tracker staleness_;
  store_follower_policy follower_policy_;
  store_outage_tracker store_outage_;
  quarantine_records quarantine_records_;
  std::unique_ptr<peer_transport> transport_;
  loop_timer heartbeat_timer_;
  loop_timer rollout_timer_;
  std::shared_ptr<const fleet_snapshot> snapshot_;
  upstream_directory upstreams_;
  std::vector<upstream_backlog> own_backlogs_;
  prompt_mix own_mix_;
  own_limits own_limits_;
  std::vector<quarantine_record> quarantined_;
  crash_update_queue crash_updates_;
  /// A daemon places up to 20 prefixes in a second and reaches each peer of a
  /// fleet that it goes through within 1.5 s, and each partner within 2 s.
  peer_update_log<placed_prefix, 256> placement_log_;
  std::vector<std::string> leader_changing_;
  std::vector<std::string> published_changing_;
  time_point leader_changing_at_{};
  /// The living peers as the edge knows them, in the order of their names.
  std::vector<daemon_record> published_peers_;
  time_point published_peers_at_{};
  size_t published_possibly_active_ = 0;
  size_t published_unreadable_ = 0;
  uint32_t logged_version_ = 0;
  list_changes peer_changes_;
  list_changes upstream_changes_;
  list_changes retained_changes_;
  /// The return of the store that the log was last told to be awaited.
  uint64_t logged_recovery_ = 0;
  items_request_tracker items_requests_;
  item_list_cache item_list_;
  time_point next_registration_{};
  bool is_stale_ = false;
  bool is_registering_ = false;
  bool is_registered_ = false;
  bool was_leading_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_FLEET_TASK_H_
