/// \file
/// Which daemons live: random probing with piggybacked news, so that the cost
/// per daemon does not grow with their number.
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

/// Which members a question is about.
enum class member_scope : uint8_t { kAll, kSameFailureDomain };

/// One daemon's view of all daemons.
class member_table : public shard_directory {
 public:
  struct options {
    member self;
    /// Peer addresses known from settings.
    std::vector<endpoint> seeds;
    uint64_t random_seed = 0;
    /// Time between two probes.
    duration probe_period = std::chrono::milliseconds(250);
    /// Time to wait for a probe's reply, directly and again through others.
    duration probe_timeout = std::chrono::milliseconds(400);
    /// Time that a suspect has to refute.
    duration suspicion_timeout = std::chrono::milliseconds(1500);
    /// How long a dead member is remembered, against late news of it.
    duration forget_after = std::chrono::seconds(60);
    /// Without any probe in this long, the daemon itself was paused.
    duration pause_threshold = std::chrono::seconds(2);
  };

  explicit member_table(const options& opts);

  /// Sends due probes and expires old ones.
  void OnTick(time_point now, action_list& out);
  /// Takes a heartbeat in; replies to a probe.
  void OnHeartbeat(time_point now, const heartbeat& message, action_list& out);
  /// Probes the target that another member could not reach.
  void OnProbeRequest(const probe_request& message, action_list& out);
  /// Takes in that another member did reach a target of ours.
  void OnProbeReply(time_point now, const probe_reply& message);
  /// Takes the platform's lagging list in. It adds addresses to probe and
  /// marks who leaves; own evidence is never overruled by it.
  void OnHostList(std::span<const listed_host> hosts);

  /// Sets what heartbeats say besides membership.
  void SetGeneration(generation_number generation) { generation_ = generation; }
  void SetUsage(std::vector<workspace_use> usage) { usage_ = std::move(usage); }
  void SetShards(std::vector<shard_number> shards);
  /// Announces that this daemon leaves, to every member at once.
  void Leave(action_list& out);

  const member& self() const { return self_; }
  /// All members but the dead, this daemon included, ordered by host.
  std::vector<member> ListMembers() const;
  const member* Find(std::string_view host) const;
  /// Returns the serving member that says it owns \p shard.
  const member* FindOwner(shard_number shard) const override;
  /// Whether this daemon is among the first \p ranks by rendezvous of \p key
  /// over the serving members, or over those of its failure domain.
  bool IsAmongFirst(uint64_t key, size_t ranks, member_scope scope) const;
  /// The number of serving members, this daemon included.
  size_t CountServing() const override;
  /// Whether any other daemon has ever been heard.
  bool HasPeers() const { return !others_.empty(); }
  /// Grows with every change of the view.
  uint64_t change_count() const { return change_count_; }
  time_point next_wake() const { return next_probe_; }

 private:
  struct entry {
    member info;
    /// When its present status began.
    time_point since;
    uint64_t host_hash = 0;
  };
  struct probe {
    std::string host;
    uint64_t sequence = 0;
    time_point deadline;
    bool indirect = false;
  };
  /// A probe sent for another member.
  struct relay {
    uint64_t sequence = 0;
    endpoint reply_to;
    uint64_t asked_sequence = 0;
  };
  struct news {
    std::string host;
    uint32_t sends_left = 0;
  };

  void Learn(time_point now, const member& statement);
  void RefuteIfNeeded(const member& statement);
  void Spread(const std::string& host);
  void ExpireProbes(time_point now, action_list& out);
  void ExpireMembers(time_point now);
  void SendProbe(time_point now, action_list& out);
  void ProbeSeeds(action_list& out);
  void AnswerRelay(const heartbeat& reply, action_list& out);
  void AskOthersToProbe(probe& pending, action_list& out);
  std::optional<std::string> PickProbeTarget();
  heartbeat MakeHeartbeat(uint64_t sequence, bool is_reply);
  void ChangeStatus(time_point now, entry& item, member_status status);

  options options_;
  member self_;
  std::mt19937_64 random_;
  std::map<std::string, entry, std::less<>> others_;
  std::vector<std::string> probe_ring_;
  std::vector<probe> probes_;
  std::vector<relay> relays_;
  std::vector<news> news_;
  std::vector<endpoint> extra_seeds_;
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
