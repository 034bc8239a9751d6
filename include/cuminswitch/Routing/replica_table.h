/// \file
/// The upstreams of the current configuration with their state.
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

#include "cuminswitch/Protocol/concurrency_message.h"
#include "cuminswitch/Protocol/weights_publication.h"
#include "cuminswitch/Routing/observation_table.h"
#include "cuminswitch/Routing/prompt_length_classifier.h"
#include "cuminswitch/Routing/replica.h"
#include "cuminswitch/Routing/target_estimate.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Index of a replica. It does not change while the daemon runs.
using replica_index = uint32_t;

/// The replicas that can serve a request now.
struct eligible_replicas {
  /// Healthy replicas that serve the target, in ascending order.
  std::vector<replica_index> indices;
  /// For each of them, whether it has a free slot for one more request.
  std::vector<bool> has_free_slot;
  /// For each of them, an additional cost in seconds: what a response loses in
  /// value when it is generated there.
  std::vector<double> penalty_seconds;
  /// For each of them, the tag of the target's weights that it has loaded.
  std::vector<weights_tag> weights;
};

/// Tracks the counts, limits and health of each replica.
class replica_table {
 public:
  struct options {
    /// How long replicas go on serving with weights other than the configured
    /// ones; 0 for not at all.
    duration old_weights_time{0};
    /// Time since the publication of new weights after which requests prefer
    /// replicas with the new weights.
    duration old_weights_grace{0};
    /// When the first version that this daemon receives counts as configured,
    /// until it learns when that was published.
    time_point first_version_since{};
    /// Longest time after the publication of new weights at which a request may
    /// still start on superseded weights; 0 for no bound.
    duration old_weights_limit{0};
  };

  replica_table() = default;
  explicit replica_table(const options& opts) : options_(opts) {}

  /// Sets the number of daemons that share the replicas. A daemon starts with
  /// its share of each replica's limit and adapts from there.
  void SetFleetSize(size_t size) {
    fleet_size_ = std::max<size_t>(1, size);
    if (observations_) {
      observations_->SetFleetSize(fleet_size_);
    }
  }
  /// Applies observations of upstreams from now on. \p seed distinguishes this
  /// daemon from its peers.
  void StartPooling(uint64_t seed);
  /// Applies what this daemon or a peer observed; without effect before
  /// `StartPooling()`.
  void OnObservation(time_point now,
                     const upstream_observation& seen,
                     observer who);
  /// Drops observations that are too old to have any effect.
  void ExpireObservations(time_point now);
  /// Whether a request for \p index tries an upstream that refused others.
  bool IsTrial(replica_index index) const;
  /// The observations; nothing before `StartPooling()`.
  std::optional<observation_table>& observations() { return observations_; }
  const std::optional<observation_table>& observations() const {
    return observations_;
  }
  /// Applies \p config. Known upstreams keep their state.
  void Reconfigure(time_point now, const configuration& config);
  /// Applies the configured \p models without changing the upstreams.
  void SetModels(time_point now, std::span<const model_spec> models);
  /// Lists the publications that this daemon witnessed of weights whose
  /// predecessors may still serve.
  std::vector<weights_publication> ListPublications(time_point now) const;
  /// Applies when weights were published that this daemon found at its start.
  /// Returns those of \p learned that were new to it.
  std::vector<weights_publication> LearnPublications(
      std::span<const weights_publication> learned);
  /// Whether a replica has weights that a publication before this daemon's
  /// start superseded.
  bool LacksPublications() const;
  /// Adds an upstream or applies its changed configuration.
  void SetUpstream(time_point now, const upstream_spec& spec);
  /// Removes an upstream from the configuration. Its state is retained.
  void RemoveUpstream(std::string_view name);

  void OnReport(time_point now, const upstream_report& report);
  void OnDispatch(replica_index index, double expected_tokens);
  /// Called when the first byte of an attempt arrives.
  void OnFirstByte(replica_index index, double expected_tokens);
  /// Adapts the replica's concurrency limit to \p took, the time to first byte
  /// of a request whose computation alone should have taken \p compute_seconds
  /// seconds.
  void AdaptLimit(time_point now,
                  replica_index index,
                  duration took,
                  double compute_seconds);
  /// Called when an attempt got a response. \p failed says whether the request
  /// failed at the upstream.
  void OnAttemptResponse(time_point now, replica_index index, bool failed);
  /// Applies the load reported in a response, which is more recent than any
  /// report.
  void OnLoad(time_point now, const upstream_load& load);
  /// Applies a peer's report of the prompt tokens that its requests wait for.
  /// It replaces the peer's previous report.
  void OnPeerPlacements(time_point now, const peer_placements& report);
  /// Drops the reports of peers that have sent none recently.
  void ExpirePeerBacklogs(time_point now);
  /// Returns the age of the oldest peer report that is still in use; 0 if there
  /// is none.
  duration OldestPeerBacklog(time_point now) const;
  /// Returns the replica whose name hashes to \p hash.
  std::optional<replica_index> FindByHash(uint64_t hash) const;
  /// Lists the prompt tokens that this daemon's requests wait for, by
  /// upstream.
  std::vector<upstream_backlog> ListBacklogs();
  void SetChanging(const upstream_changing& event);
  /// Records that the replica's rate limit allows this daemon's next request in
  /// \p wait.
  void SetLimited(time_point now, replica_index index, duration wait);
  /// Called when the replica's rate limit has changed or ended.
  void ClearLimited(replica_index index);
  /// Sets how many rejections per second the replicas of \p service survive;
  /// nothing if they do not advertise that.
  void SetRejectionLimit(const std::string& service,
                         std::optional<uint32_t> limit);
  /// Whether any service advertises a rejection limit.
  bool HasRejectionLimits() const { return !rejection_limits_.empty(); }
  /// Applies permits that were granted.
  void OnPermits(time_point now, const permit_change& change);
  /// Keeps a permit for a request that awaits one of another kind, and makes it
  /// available again.
  void KeepPermit(replica_index index);
  void ReturnKeptPermit(replica_index index);
  /// Returns what this daemon holds and wants at the replicas that need
  /// permits. Permits that no request has used are given up.
  std::vector<concurrency_demand> TakeDemands(time_point now);
  /// Records the time to first byte of a request that was sent with a permit.
  void LearnPermitWork(replica_index index, duration took);
  /// Called when the replica rejected a request that it was sent, since it was
  /// full.
  void OnRejected(replica_index index);
  /// Called when this daemon ended an attempt before the replica did.
  void OnCancelled(time_point now, replica_index index);
  /// Returns the time to first byte of a request that is sent with a permit to
  /// the fastest replica of \p target; 0 if unknown.
  duration PermitWork(std::string_view target) const;
  /// Returns the estimated time until a request to \p target that arrives now
  /// gets a permit; 0 where it needs none, or if nothing is known.
  duration PermitWait(time_point now, std::string_view target) const;
  /// Returns the version of \p target's weights at the replica, or an empty
  /// string for a service.
  std::string VersionAt(replica_index index, std::string_view target) const;
  /// Returns the tag of `VersionAt()`.
  weights_tag WeightsAt(replica_index index, std::string_view target) const;
  /// Called when the upstream refused a request because it is too busy.
  void OnBusy(time_point now, replica_index index);
  /// Called when an attempt failed or the upstream could not be reached.
  void OnFailure(time_point now, replica_index index);
  /// Called when an attempt is over.
  void OnEnd(replica_index index);
  /// Records the time from the first to the last byte of a response.
  void LearnResponseTime(replica_index index, duration took);
  /// Records the time to first byte of a request without a prompt.
  void LearnFirstByte(replica_index index, duration took);
  /// Records that a request without a prompt reached its deadline without a
  /// first byte, \p took after it was sent. Lowers the limit of the replica.
  void LearnNoFirstByte(time_point now, replica_index index, duration took);
  /// Returns the time to first byte of a request without a prompt at the
  /// fastest replica of \p target; 0 if unknown.
  duration ShortestFirstByte(std::string_view target) const;
  /// Records the time to first byte of a request to \p target at any replica.
  void LearnTargetFirstByte(std::string_view target, duration took);
  /// Returns the mean time to first byte of requests to \p target.
  duration MeanFirstByte(std::string_view target) const;
  /// Records that a first byte from \p target came \p prediction_error later
  /// than predicted.
  void LearnPredictionError(time_point now,
                            std::string_view target,
                            priority_class priority,
                            duration prediction_error);
  /// Returns by how much requests to \p target recently waited longer than
  /// predicted.
  duration MeanPredictionError(time_point now,
                               std::string_view target,
                               priority_class priority) const;
  /// Records the number of prompt tokens that a request made the replica
  /// compute.
  void LearnComputed(replica_index index, double tokens);
  /// Records a sample of the prefill rate from an attempt that did not queue.
  /// Replicas without a sample are assumed to be as fast as the others of their
  /// target.
  void LearnPrefillRate(replica_index index, double tokens, duration took);

  /// Counts prompt tokens that a request to \p target adds to an engine's
  /// cache.
  void CountAdded(time_point now, std::string_view target, double tokens);
  /// Returns the probability that an engine of \p target still has a prefix
  /// cached that it last used \p age ago.
  double HitChance(time_point now, std::string_view target, duration age) const;
  /// Returns the preferred replica of \p target for \p prefix, the first by
  /// rendezvous hashing, whether or not it can serve now.
  std::optional<replica_index> PreferredReplica(std::string_view target,
                                                uint64_t prefix) const;

  /// Counts the replicas of \p target and the requests that they run
  /// concurrently.
  engine_slots CountSlots(std::string_view target) const;
  /// Returns the latest time at which a request may start on \p target's
  /// weights of \p version; nothing for weights that are not superseded.
  std::optional<time_point> LastStart(std::string_view target,
                                      std::string_view version) const;

  /// Whether the replica still exists and accepts requests: it is reachable, is
  /// not leaving or changing its weights, and has requested no backoff.
  bool IsAccepting(time_point now, replica_index index) const;

  /// Lists the replicas that can serve \p target in \p failure_domains (any if
  /// empty) with \p software, except those in \p excluded.
  eligible_replicas ListEligible(time_point now,
                                 std::string_view target,
                                 std::span<const std::string> failure_domains,
                                 std::span<const replica_index> excluded,
                                 software_tag software = kAnySoftware) const;

  /// Whether a replica of \p target that is not leaving has \p software, be it
  /// available now or not.
  bool HasSoftware(std::string_view target, software_tag software) const;

  const replica& operator[](replica_index index) const {
    return replicas_[index];
  }
  replica& at(replica_index index) { return replicas_[index]; }
  /// Returns the position of \p index among the replicas of its target, as a
  /// fraction from 0 to 1, in an order that all daemons share.
  double RankOf(replica_index index) const;
  /// Indices of the upstreams in the configuration, in ascending order.
  std::span<const replica_index> configured() const { return configured_; }

  /// Returns the estimated seconds until \p index starts computing a newly sent
  /// prompt, given a free slot.
  double EstimateQueueSeconds(time_point now, replica_index index) const;
  /// Returns how many seconds of other daemons' prompts have recently waited at
  /// \p index on average.
  double MeanPeerBacklogSeconds(time_point now, replica_index index) const;
  /// Returns the estimated number of requests that wait at \p index or for a
  /// free slot there.
  double EstimateWaiting(time_point now, replica_index index) const;
  /// Returns the estimated seconds until a replica without a free slot has one
  /// for one more request, behind those that already wait for it.
  double EstimateSecondsToFreeSlot(time_point now, replica_index index) const;
  /// Resets the counts of requests that wait for each replica, so that they can
  /// be counted again with `CountQueued()`.
  void ClearQueued();
  /// Counts a request that arrived at \p arrived.
  void CountQueued(replica_index index, time_point arrived);

 private:
  struct version_start {
    std::string version;
    time_point since{};
    /// The daemon was running when the version was published.
    bool is_witnessed = false;
  };
  struct target_replicas {
    /// The model's version; empty for a service.
    std::string version;
    /// Earliest time at which each version may have been published, oldest
    /// first.
    std::vector<version_start> history;
    /// In ascending order.
    std::vector<replica_index> indices;
    /// In the order of their names' hashes, which is the same on all
    /// daemons.
    std::vector<replica_index> ranked;
    target_estimate estimate;
    /// Whether its engines reserve slots.
    bool reserves_slots = false;
  };

  struct peer_backlog_report {
    time_point at{};
    std::vector<upstream_backlog> backlogs;
  };

  /// Adds \p index to, or removes it from, the targets that its upstream
  /// serves.
  void JoinTargets(replica_index index);
  void LeaveTargets(replica_index index);
  bool IsConfigured(replica_index index) const;
  /// Applies one of `LearnPublications()`; returns whether it is new.
  bool LearnPublication(const weights_publication& learned);
  double InitialLimit(const upstream_spec& spec) const;
  /// Lowers the limit by \p factor, once in the time that requests take, since
  /// one \p took too long.
  static void LowerLimit(time_point now,
                         replica& item,
                         duration took,
                         double factor);
  /// Returns the smallest value of the member \p seconds of the replicas of
  /// \p target that is not 0; 0 if there is none.
  double Shortest(std::string_view target, double replica::*seconds) const;
  void UpdateRejectionLimit(replica& item) const;
  /// Resets the state that belongs to the previous process of the upstream.
  static void ResetProcessState(replica& item);
  /// Records the upstream's own request counts as of \p at.
  static void RecordLoad(time_point at,
                         replica& item,
                         uint32_t running,
                         uint32_t waiting);
  static void RaiseLimit(replica& item);
  static bool HasFreeSlot(time_point now, const replica& item);
  static bool ServesVersion(const replica& item,
                            std::string_view target,
                            std::string_view version);

  /// Returns when weights of \p version were first superseded.
  static time_point SupersededAt(const target_replicas& target,
                                 std::string_view version);
  /// Returns the additional cost in seconds of a replica with \p target's old
  /// weights; nothing when it must not serve any more.
  std::optional<double> OldWeightsPenalty(time_point now,
                                          std::string_view name,
                                          const target_replicas& target,
                                          replica_index index) const;
  /// Returns the models of \p item with their newest versions; nothing if it
  /// has these already or they are unknown.
  std::optional<std::vector<loaded_model>> NewestModels(
      const replica& item) const;
  /// Uses \p models instead of those of the last report, until a report differs
  /// from that. Requests state the version that they expect, so that they do
  /// not run if this is wrong.
  void AssumeModels(time_point now,
                    replica& item,
                    const std::vector<loaded_model>& models);
  /// Returns until when requests should not go to \p item, which refused
  /// others; nothing if they may.
  std::optional<time_point> HeldUntil(time_point now,
                                      const replica& item) const;
  /// Returns the tag of weights of \p version, never `kNoWeights`.
  static weights_tag TagOf(std::string_view version);
  void AddPeerBacklogs(time_point now,
                       const peer_backlog_report& report,
                       double sign);
  /// Returns the prompt tokens of other daemons' requests that \p item has
  /// still to compute, as far as their reports say.
  static double OthersPendingTokens(time_point now, const replica& item);
  /// Returns the replica called \p name, whether configured or not.
  std::optional<replica_index> Find(std::string_view name) const;
  void EjectOutlier(time_point now, replica_index index);

  options options_;
  size_t fleet_size_ = 1;
  std::map<std::string, peer_backlog_report> peer_backlogs_;
  std::optional<observation_table> observations_;
  std::unordered_map<uint64_t, replica_index> by_hash_;
  /// A deque, which does not over-allocate and moves no elements when it
  /// grows.
  std::deque<replica> replicas_;
  std::vector<replica_index> configured_;
  /// Replicas that requests of this daemon wait for; may contain
  /// duplicates.
  std::vector<replica_index> queued_;
  /// All replicas with requests without a first byte, and some that had such
  /// requests earlier.
  std::set<replica_index> pending_;
  std::map<std::string, target_replicas, std::less<>> by_target_;
  /// By service.
  std::map<std::string, uint32_t, std::less<>> rejection_limits_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_REPLICA_TABLE_H_
