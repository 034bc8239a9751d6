/// \file
/// Every upstream of the configuration in force, with its state.
#ifndef CUMINSWITCH_ROUTING_REPLICA_TABLE_H_
#define CUMINSWITCH_ROUTING_REPLICA_TABLE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Routing/replica.h"
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
};

/// Keeps each replica's counts, limits and health.
class replica_table {
 public:
  /// Sets how many daemons share the replicas. A daemon starts with its part
  /// of each replica's limit and adapts from there.
  void SetFleetSize(size_t size) { fleet_size_ = std::max<size_t>(1, size); }
  /// Brings \p config into force; known upstreams keep their state.
  void Reconfigure(time_point now, const configuration& config);

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
  void OnAnswered(replica_index index);
  /// The upstream said that it is too busy.
  void OnBusy(time_point now, replica_index index);
  /// The attempt failed, or the upstream could not be reached.
  void OnFailure(time_point now, replica_index index);
  /// The attempt is over.
  void OnEnd(replica_index index);
  /// Learns how long an answer took from its first byte to its end.
  void LearnAnswerTime(replica_index index, duration took);
  /// Learns how many tokens a request made the replica compute.
  void LearnComputed(replica_index index, double tokens);
  /// Learns the prefill rate from an attempt that did not queue.
  void LearnPrefillRate(replica_index index, double tokens, duration took);

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
  std::span<const replica> all() const { return replicas_; }
  /// Indices of the upstreams in the configuration.
  std::span<const replica_index> configured() const { return configured_; }

  /// Seconds until \p index would begin to compute a new prompt, once it has
  /// room.
  double EstimateQueueSeconds(time_point now, replica_index index) const;
  /// Requests that wait at \p index or for it, as far as is known.
  double EstimateWaiting(time_point now, replica_index index) const;
  /// Seconds until a replica without room has some for one more request,
  /// behind those that wait for it already.
  double EstimateRoomSeconds(replica_index index) const;
  /// Counts the requests that wait for each replica anew.
  void ClearQueued();
  void CountQueued(replica_index index) { ++replicas_[index].queued_here; }

 private:
  struct target_replicas {
    /// The model's version; empty for a service.
    std::string version;
    std::vector<replica_index> indices;
  };

  double FirstLimit(const upstream_spec& spec) const;
  static void RaiseLimit(replica& item);
  static bool HasRoom(time_point now, const replica& item);
  static bool ServesVersion(const replica& item,
                            std::string_view target,
                            std::string_view version);

  size_t fleet_size_ = 1;
  std::vector<replica> replicas_;
  std::map<std::string, replica_index, std::less<>> by_name_;
  std::vector<replica_index> configured_;
  std::map<std::string, target_replicas, std::less<>> by_target_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_REPLICA_TABLE_H_
