/// \file
/// Every upstream of the configuration in force, with its state.
#ifndef CUMINSWITCH_ROUTING_REPLICA_TABLE_H_
#define CUMINSWITCH_ROUTING_REPLICA_TABLE_H_

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
  std::vector<replica_index> indices;
  /// Some replica serves the target but has no room.
  bool any_full = false;
  /// Some replica of the configuration serves the target at all.
  bool any_serving = false;
};

/// Keeps each replica's counts, limits and health.
class replica_table {
 public:
  /// Brings \p config into force; known upstreams keep their state.
  void Reconfigure(time_point now, const configuration& config);

  void OnReport(time_point now, const upstream_report& report);
  void OnDispatch(replica_index index, double expected_tokens);
  /// The attempt's tokens are computed.
  void OnFirstByte(replica_index index, double expected_tokens);
  void OnAnswered(replica_index index);
  /// The upstream said that it is too busy.
  void OnBusy(time_point now, replica_index index);
  /// The attempt failed, or the upstream could not be reached.
  void OnFailure(time_point now, replica_index index);
  void OnEnd(replica_index index);
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

  /// Seconds until \p index would begin to compute a new prompt.
  double EstimateQueueSeconds(time_point now, replica_index index) const;

 private:
  struct target_replicas {
    /// The model's version; empty for a service.
    std::string version;
    std::vector<replica_index> indices;
  };

  bool HasRoom(time_point now, const replica& item) const;
  static bool ServesVersion(const replica& item,
                            std::string_view target,
                            std::string_view version);

  std::vector<replica> replicas_;
  std::map<std::string, replica_index, std::less<>> by_name_;
  std::vector<replica_index> configured_;
  std::map<std::string, target_replicas, std::less<>> by_target_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_REPLICA_TABLE_H_
