/// \file
/// Every upstream of the configuration in force, with its state.
#ifndef CUMINSWITCH_ROUTING_REPLICA_TABLE_H_
#define CUMINSWITCH_ROUTING_REPLICA_TABLE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Routing/prompt_length_classifier.h"
#include "cuminswitch/Routing/replica.h"
#include "cuminswitch/Routing/target_estimate.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Index of a replica; stays the same while the daemon runs.
using replica_index = uint32_t;

/// Which replicas can take a request now, and why the others cannot.
struct eligible_replicas {
  /// Those that serve the target and are healthy, in ascending order.
  std::vector<replica_index> indices;
  /// For each of them, whether it has room for one more request.
  std::vector<bool> has_room;
  /// For each of them, seconds that it costs beyond its work: what an answer
  /// loses in value by being made there.
  std::vector<double> penalty_seconds;
  /// For each of them, the tag of its weights of the target.
  std::vector<weights_tag> weights;
};

/// Keeps each replica's counts, limits and health.
class replica_table {
 public:
  struct options {
    /// How long replicas with other weights than the configured ones go on
    /// serving; 0 for not at all.
    duration old_weights_time{0};
    /// After this long, a request prefers a replica with the new weights.
    duration old_weights_grace{0};
    /// Since when the first version that is learnt counts as configured. It may
    /// have been named long before this daemon started.
    time_point first_version_since{};
    /// No request may begin later than this on superseded weights; 0 for no
    /// such bound.
    duration old_weights_limit{0};
  };

  replica_table() = default;
  explicit replica_table(const options& opts) : options_(opts) {}

  /// Sets how many daemons share the replicas. A daemon starts with its part
  /// of each replica's limit and adapts from there.
  void SetFleetSize(size_t size) { fleet_size_ = std::max<size_t>(1, size); }
  /// Brings \p config into force; known upstreams keep their state.
  void Reconfigure(time_point now, const configuration& config);
  /// Brings \p models into force and leaves the upstreams as they are.
  void SetModels(time_point now, std::span<const model_spec> models);
  /// Adds an upstream, or takes in what its configuration is now.
  void SetUpstream(time_point now, const upstream_spec& spec);
  /// The upstream is not in the configuration any more. Its state is kept.
  void RemoveUpstream(std::string_view name);

  void OnReport(time_point now, const upstream_report& report);
  void OnDispatch(replica_index index, double expected_tokens);
  /// The attempt waits for its first byte no longer.
  void OnFirstByte(replica_index index, double expected_tokens);
  /// Adapts the limit to how long the first byte took, where computing alone
  /// should have taken \p computing seconds.
  void AdaptLimit(time_point now,
                  replica_index index,
                  duration took,
                  double computing);
  /// The attempt was answered; \p failed when with a failure of its own.
  void OnAnswered(time_point now, replica_index index, bool failed);
  /// Takes in the load that an answer told; it is as fresh as can be.
  void OnLoad(time_point now, const upstream_load& load);
  /// Takes in what a peer's requests wait for; replaces what it told before.
  void OnPeerPlacements(time_point now, const peer_placements& told);
  /// Forgets what peers told that are silent.
  void ExpirePeerBacklogs(time_point now);
  /// The age of the oldest that peers told and that still counts; 0 where there
  /// is none.
  duration OldestPeerBacklog(time_point now) const;
  /// Returns the replica whose name has \p hash.
  std::optional<replica_index> FindByHash(uint64_t hash) const;
  /// Lists what this daemon's requests wait for.
  std::vector<upstream_backlog> ListBacklogs();
  void SetChanging(const upstream_changing& event);
  /// The replica takes this daemon's next request in \p wait, because of its
  /// limit.
  void SetLimited(time_point now, replica_index index, duration wait);
  /// The replica's limit is another one or has ended.
  void ClearLimited(replica_index index);
  /// Returns the version of \p target's weights at the replica, or nothing
  /// for a service.
  std::string VersionAt(replica_index index, std::string_view target) const;
  /// The tag of `VersionAt()`.
  weights_tag WeightsAt(replica_index index, std::string_view target) const;
  /// The upstream said that it is too busy.
  void OnBusy(time_point now, replica_index index);
  /// The attempt failed, or the upstream could not be reached.
  void OnFailure(time_point now, replica_index index);
  /// The attempt is over.
  void OnEnd(replica_index index);
  /// Learns how long an answer took from its first byte to its end.
  void LearnAnswerTime(replica_index index, duration took);
  /// Learns how long a plain request waited for its first byte.
  void LearnFirstByte(replica_index index, duration took);
  /// Learns how long a request to \p target waited for its first byte, whatever
  /// the replica.
  void LearnTargetFirstByte(std::string_view target, duration took);
  /// How long requests to \p target wait for their first byte on average.
  duration MeanFirstByte(std::string_view target) const;
  /// Learns by how much a first byte from \p target came later than expected.
  void LearnPredictionError(time_point now,
                            std::string_view target,
                            priority_class priority,
                            duration excess);
  /// By how much requests to \p target wait longer than expected of late.
  duration MeanPredictionError(time_point now,
                               std::string_view target,
                               priority_class priority) const;
  /// Learns how many tokens a request made the replica compute.
  void LearnComputed(replica_index index, double tokens);
  /// Learns the prefill rate from an attempt that did not queue. Replicas that
  /// have shown nothing yet are taken for as fast as the others of their
  /// target.
  void LearnPrefillRate(replica_index index, double tokens, duration took);

  /// Counts prompt tokens that a request to \p target adds to an engine's
  /// cache.
  void CountAdded(time_point now, std::string_view target, double tokens);
  /// How likely an engine of \p target still has cached what it last used
  /// \p age ago.
  double HitChance(time_point now, std::string_view target, duration age) const;
  /// Returns the replica of \p target that is \p prefix's first home, whether
  /// or not it can serve now.
  std::optional<replica_index> PreferredReplica(std::string_view target,
                                                uint64_t prefix) const;

  /// Counts the replicas of \p target and what they run at once.
  engine_slots CountSlots(std::string_view target) const;
  /// Returns when the last request may begin at \p target's weights of
  /// \p version; nothing for weights that are not superseded.
  std::optional<time_point> LastStart(std::string_view target,
                                      std::string_view version) const;

  /// Lists the replicas that can serve \p target in \p failure_domains (any
  /// when empty), but for those in \p excluded.
  eligible_replicas ListEligible(time_point now,
                                 std::string_view target,
                                 std::span<const std::string> failure_domains,
                                 std::span<const replica_index> excluded) const;

  const replica& operator[](replica_index index) const {
    return replicas_[index];
  }
  replica& at(replica_index index) { return replicas_[index]; }
  /// Its place among the replicas of its target in an order that all daemons
  /// share, from 0 to 1.
  double RankOf(replica_index index) const;
  /// Indices of the upstreams in the configuration, in ascending order.
  std::span<const replica_index> configured() const { return configured_; }

  /// Seconds until \p index would begin to compute a new prompt, once it has
  /// room.
  double EstimateQueueSeconds(time_point now, replica_index index) const;
  /// Requests that wait at \p index or for it, as far as is known.
  double EstimateWaiting(time_point now, replica_index index) const;
  /// Seconds until a replica without room has some for one more request,
  /// behind those that wait for it already.
  double EstimateRoomSeconds(time_point now, replica_index index) const;
  /// Counts the requests that wait for each replica anew.
  void ClearQueued();
  void CountQueued(replica_index index);

 private:
  struct version_start {
    std::string version;
    time_point since{};
  };
  struct target_replicas {
    /// The model's version; empty for a service.
    std::string version;
    /// When each version was first configured here, the oldest first.
    std::vector<version_start> history;
    /// In ascending order.
    std::vector<replica_index> indices;
    /// In the order of their names' hashes, which all daemons share.
    std::vector<replica_index> ranked;
    target_estimate estimate;
  };

  /// Adds \p index to the targets that its upstream serves, or takes it out.
  void JoinTargets(replica_index index);
  void LeaveTargets(replica_index index);
  bool IsConfigured(replica_index index) const;
  double FirstLimit(const upstream_spec& spec) const;
  /// Forgets what was learnt of the start before this one.
  static void ForgetStart(replica& item);
  /// Takes in an upstream's own counts as of \p at.
  static void NoteLoad(time_point at,
                       replica& item,
                       uint32_t running,
                       uint32_t waiting);
  static void RaiseLimit(replica& item);
  static bool HasRoom(time_point now, const replica& item);
  static bool ServesVersion(const replica& item,
                            std::string_view target,
                            std::string_view version);

  /// When weights of \p version were first superseded.
  static time_point SupersededAt(const target_replicas& target,
                                 std::string_view version);
  /// What a replica with \p target's old weights costs; nothing when it is not
  /// to serve any more.
  std::optional<double> OldWeightsPenalty(time_point now,
                                          std::string_view name,
                                          const target_replicas& target,
                                          replica_index index) const;
  void AddPeerBacklogs(std::span<const upstream_backlog> backlogs, double sign);
  /// Returns the replica \p name, configured or not.
  std::optional<replica_index> Find(std::string_view name) const;
  void EjectOutlier(time_point now, replica_index index);

  struct told_backlogs {
    time_point at{};
    std::vector<upstream_backlog> backlogs;
  };

  options options_;
  size_t fleet_size_ = 1;
  std::map<std::string, told_backlogs> peer_backlogs_;
  std::unordered_map<uint64_t, replica_index> by_hash_;
  /// A deque, which takes no room ahead of need and moves nothing as it grows.
  std::deque<replica> replicas_;
  std::vector<replica_index> configured_;
  /// Replicas that requests of this daemon wait for; some may repeat.
  std::vector<replica_index> queued_;
  /// All with requests without a first byte, and some that had.
  std::set<replica_index> pending_;
  std::map<std::string, target_replicas, std::less<>> by_target_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_REPLICA_TABLE_H_
