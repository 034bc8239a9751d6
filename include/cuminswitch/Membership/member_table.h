/// \file
/// SWIM-style group membership: randomized probing with piggybacked updates,
/// so that the cost per daemon does not grow with the number of daemons.
#ifndef CUMINSWITCH_MEMBERSHIP_MEMBER_TABLE_H_
#define CUMINSWITCH_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Protocol/member.h"
#include "cuminswitch/Protocol/peer_message.h"
#include "cuminswitch/Protocol/shard_directory.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Which members a query covers.
enum class member_scope : uint8_t { kAll, kSameFailureDomain };

/// The members known to this daemon and their status: its local view of the
/// fleet.
class member_table : public shard_directory {
 public:
  struct options {
    member self;
    /// Peer addresses from the settings, probed until the peers are members.
    std::vector<endpoint> seeds;
    uint64_t random_seed = 0;
    /// Interval between two probes.
    duration probe_period = std::chrono::milliseconds(250);
    /// How long to wait for the reply to a direct probe, and as long again for
    /// the reply to the indirect probes that follow it.
    duration probe_timeout = std::chrono::milliseconds(400);
    /// Time that a suspect has to refute before it is declared dead.
    duration suspicion_timeout = std::chrono::milliseconds(1500);
    /// How long the entry of a dead or leaving member is kept. A late update
    /// about a removed member would add it again.
    duration dead_member_retention = std::chrono::seconds(60);
    /// A longer interval between two ticks means that this process was paused.
    duration pause_threshold = std::chrono::seconds(2);
  };

  explicit member_table(const options& opts);

  /// Sends due probes and expires old ones.
  void OnTick(time_point now, action_list& out);
  /// Applies the updates of a heartbeat, and replies to it if it is a probe.
  void OnHeartbeat(time_point now, const heartbeat& message, action_list& out);
  /// Probes a target on behalf of a member whose direct probe timed out.
  void OnProbeRequest(const probe_request& message, action_list& out);
  /// Applies the result of an indirect probe: another member has reached a
  /// target that this daemon could not.
  void OnProbeReply(time_point now, const probe_reply& message);
  /// Replaces the seed addresses from the platform's host list, which may lag.
  /// Listed hosts that are neither members nor leaving are probed; the list
  /// never changes the status of a member.
  void OnHostList(std::span<const listed_host> hosts);

  /// Set the contents of outgoing heartbeats besides membership.
  void SetGeneration(generation_number generation) { generation_ = generation; }
  void SetUsage(std::vector<workspace_use> usage) { usage_ = std::move(usage); }
  void SetShards(std::vector<shard_number> shards);
  /// Announces to every member at once that this daemon is leaving.
  void Leave(action_list& out);

  const member& self() const { return self_; }
  /// Returns all members that are not dead, including this daemon, ordered by
  /// host.
  std::vector<member> ListMembers() const;
  const member* Find(std::string_view host) const;
  /// Returns a member that is not dead and advertises ownership of \p shard, or
  /// null.
  const member* FindOwner(shard_number shard) const override;
  /// Whether this daemon is among the first \p ranks candidates for \p key by
  /// rendezvous hashing. The candidates are the serving members of \p scope.
  bool IsAmongFirst(uint64_t key, size_t ranks, member_scope scope) const;
  /// Returns the number of serving members, including this daemon.
  size_t CountServing() const override;
  /// Whether the table holds any other daemon, whatever its status.
  bool HasPeers() const { return !others_.empty(); }
  /// Increases with every change of the table.
  uint64_t change_count() const { return change_count_; }
  time_point next_wake() const { return next_probe_; }

 private:
  struct entry {
    member info;
    /// When the entry got its present status, or when a pause of this process
    /// ended, if that was later.
    time_point status_since;
    /// `Hash64` of the host, the candidate in rendezvous hashing.
    uint64_t host_hash = 0;
  };
  /// A probe whose reply is pending.
  struct probe {
    std::string host;
    uint64_t sequence = 0;
    time_point deadline;
    /// Whether the direct probe timed out and indirect ones were requested.
    bool indirect = false;
  };
  /// A probe sent on behalf of another member; its reply is pending.
  struct relayed_probe {
    uint64_t sequence = 0;
    endpoint reply_to;
    /// The sequence number of the `probe_request`, echoed in the reply.
    uint64_t requested_sequence = 0;
  };
  /// A host whose entry is piggybacked on the next `sends_left` heartbeats.
  struct queued_update {
    std::string host;
    uint32_t sends_left = 0;
  };

  void ApplyUpdate(time_point now, const member& update);
  void RefuteIfNeeded(const member& update);
  void QueueUpdate(const std::string& host);
  void ExpireProbes(time_point now, action_list& out);
  void ExpireMembers(time_point now);
  void SendProbe(time_point now, action_list& out);
  void ProbeSeeds(action_list& out);
  void SendProbeReply(const heartbeat& reply, action_list& out);
  void RequestIndirectProbes(probe& pending, action_list& out);
  std::optional<std::string> PickProbeTarget();
  heartbeat MakeHeartbeat(uint64_t sequence, bool is_reply);
  void ChangeStatus(time_point now, entry& item, member_status status);

  options options_;
  member self_;
  std::mt19937_64 random_;
  std::map<std::string, entry, std::less<>> others_;
  /// Probe targets of the current round in random order; the last is next.
  std::vector<std::string> probe_ring_;
  std::vector<probe> probes_;
  std::vector<relayed_probe> relayed_probes_;
  std::vector<queued_update> update_queue_;
  /// Peer addresses of listed hosts that are not members.
  std::vector<endpoint> host_list_seeds_;
  std::vector<workspace_use> usage_;
  generation_number generation_ = 0;
  uint64_t next_sequence_ = 1;
  uint64_t change_count_ = 1;
  uint64_t probe_count_ = 0;
  time_point next_probe_{};
  time_point last_tick_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_MEMBERSHIP_MEMBER_TABLE_H_
