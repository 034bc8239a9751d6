/// \file
/// Owner's journal of one shard of the idempotency-key space, which provides
/// at-most-once execution.
#ifndef CUMINSWITCH_ONCE_SHARD_JOURNAL_H_
#define CUMINSWITCH_ONCE_SHARD_JOURNAL_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Protocol/peer_message.h"
#include "cuminswitch/Records/shard_record.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Claims ownership of a shard, writes every start to the platform before
/// granting it, and replies to repeated requests. Safety rests on the
/// compare-and-swap alone: the next write of an owner that was deposed fails,
/// however long its process was paused, and it grants nothing. Heartbeats only
/// decide when another daemon tries to take over.
class shard_journal {
 public:
  struct options {
    shard_number shard = 0;
    std::string host;
    uint64_t incarnation = 0;
    /// Time for which a key is retained after the caller issued it.
    std::chrono::seconds retention{600};
    /// Maximum difference between the wall clocks of callers and hosts.
    std::chrono::seconds clock_skew{60};
    /// Minimum time between two writes: this shard's share of the fleet's write
    /// budget.
    duration write_interval = std::chrono::milliseconds(80);
    /// Maximum number of entries; the encoded journal must fit in one value of
    /// the platform.
    size_t max_entries = 20'000;
    /// Longest response body that is recorded for repeated requests, in bytes;
    /// a longer one is not replayed.
    size_t max_response_size = 16'384;
  };

  /// Whether this daemon owns the shard; `kUncertain` while it is unknown
  /// whether its last write took effect.
  enum class ownership : uint8_t { kNone, kClaiming, kOwned, kUncertain };

  explicit shard_journal(const options& opts);

  /// Starts to claim the shard. Does nothing unless `state()` is `kNone` and no
  /// platform call is outstanding.
  void Claim(action_list& out);
  /// Gives up ownership of the shard, so that another daemon can claim it at
  /// once. Does nothing unless the shard is owned and no platform call is
  /// outstanding.
  void Release(uint64_t unix_now, action_list& out);
  /// Writes pending starts to the journal once the write interval has passed,
  /// or reads the record back while ownership is uncertain.
  void OnTick(time_point now, uint64_t unix_now, action_list& out);
  void OnPlatformReply(time_point now,
                       uint64_t unix_now,
                       const platform_reply& reply,
                       action_list& out);
  void OnStart(time_point now,
               uint64_t unix_now,
               const start_request& request,
               action_list& out);
  void OnFinish(const finish_report& report);
  void OnRelease(const release_report& report);

  ownership state() const { return state_; }
  bool is_owned() const { return state_ == ownership::kOwned; }
  epoch_number epoch() const { return epoch_; }
  size_t entry_count() const { return entries_.size(); }
  uint64_t write_count() const { return write_count_; }

 private:
  enum class entry_state : uint8_t {
    /// Waits for the journal write; must not be executed yet.
    kPending,
    /// Possibly in the journal, but refused, or its grant was released unused.
    kUngranted,
    /// Granted to `requester`; its result has not been reported.
    kGranted,
    /// Read from the journal of an earlier owner; may have been executed.
    kRecovered,
    kAnswered,
    kResultUnknown,
  };
  /// The one request that holds, or waits for, the grant of a key.
  struct grantee {
    endpoint reply_to;
    std::string host;
    uint64_t incarnation = 0;
    request_id request = 0;
    bool IsSame(const start_request& other) const {
      return host == other.host && incarnation == other.incarnation &&
             request == other.request;
    }
  };
  struct entry {
    entry_state state = entry_state::kPending;
    uint64_t issued = 0;
    hash128 request_digest;
    grantee requester;
    recorded_response response;
  };
  /// Purpose of the outstanding platform call.
  enum class pending_call : uint8_t {
    kNone,
    kClaimRead,
    kClaimWrite,
    kCommit,
    kReadBack,
    kReleaseWrite,
  };

  bool IsExpired(uint64_t unix_now, uint64_t issued) const;
  void ReplyToRepeatedStart(time_point now,
                            entry& found,
                            const start_request& request,
                            action_list& out);
  void Reply(const grantee& requester,
             start_result result,
             action_list& out,
             const recorded_response& response = {}) const;
  void Commit(time_point now, uint64_t unix_now, action_list& out);
  void Prune(uint64_t unix_now);
  shard_record MakeRecord() const;
  void Call(pending_call kind,
            platform_operation operation,
            std::string value,
            action_list& out);
  void OnClaimRead(const platform_reply& reply, action_list& out);
  void OnClaimWrite(const platform_reply& reply, action_list& out);
  void OnCommit(time_point now, const platform_reply& reply, action_list& out);
  void OnReadBack(time_point now,
                  const platform_reply& reply,
                  action_list& out);
  void GrantCommitted(action_list& out);
  void RefusePending(action_list& out);
  void Depose(action_list& out);
  void AdoptRecord(const shard_record& record, revision_number revision);

  options options_;
  ownership state_ = ownership::kNone;
  epoch_number epoch_ = 0;
  revision_number revision_ = 0;
  uint64_t floor_ = 0;
  std::unordered_map<key_hash, entry, hash128_hasher> entries_;
  /// Keys whose start waits for a write, and keys in the outstanding write.
  std::vector<key_hash> waiting_;
  std::vector<key_hash> committing_;
  pending_call call_ = pending_call::kNone;
  uint64_t call_serial_ = 0;
  time_point next_write_{};
  time_point next_read_back_{};
  uint64_t write_count_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ONCE_SHARD_JOURNAL_H_
