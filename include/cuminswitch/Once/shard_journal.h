/// \file
/// The owner's side of at-most-once: one shard of the idempotency-key space.
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

/// Claims a shard, journals every start before it is granted, and answers
/// repeats. Its safety rests on the compare-and-swap alone: an owner that was
/// deposed, however long it was paused, fails its next write and grants
/// nothing. Heartbeats only decide when somebody else tries to take over.
class shard_journal {
 public:
  struct options {
    shard_number shard = 0;
    std::string host;
    uint64_t incarnation = 0;
    /// How long a key is kept after the caller issued it.
    std::chrono::seconds retention{600};
    /// How far callers' and hosts' wall clocks may differ.
    std::chrono::seconds clock_skew{60};
    /// Least time between two writes: this shard's part of the write budget.
    duration write_interval = std::chrono::milliseconds(80);
    /// Bounds the journal, which must fit a value of the platform.
    size_t max_entries = 20'000;
    /// Longest kept answer, in bytes; a longer one is not replayed.
    size_t max_answer_size = 16'384;
  };

  enum class ownership : uint8_t { kNone, kClaiming, kOwned, kUncertain };

  explicit shard_journal(const options& opts);

  /// Starts to take the shard over. Does nothing unless it is not owned.
  void Claim(action_list& out);
  /// Hands the shard back so that another daemon can claim it at once.
  void Release(uint64_t unix_now, action_list& out);
  /// Writes what waits for the journal, once the write budget allows.
  void OnTick(time_point now, uint64_t unix_now, action_list& out);
  void OnPlatformAnswer(time_point now,
                        uint64_t unix_now,
                        const platform_reply& answer,
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
    /// Waits for the journal; nothing may run yet.
    kPending,
    /// May be in the journal, but was refused and never granted.
    kUngranted,
    /// Granted to `grantee`; its end has not been reported.
    kGranted,
    /// Read from the journal of an earlier owner: it may have run.
    kRecovered,
    kAnswered,
    kEndUnknown,
  };
  /// The one request that may run, or wants to run, under a key.
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
    grantee asker;
    recorded_response answer;
  };
  /// What the outstanding call on the platform is for.
  enum class pending_call : uint8_t {
    kNone,
    kClaimRead,
    kClaimWrite,
    kCommit,
    kReadBack,
    kHandBack,
  };

  bool IsExpired(uint64_t unix_now, uint64_t issued) const;
  void AnswerRepeat(time_point now,
                    entry& found,
                    const start_request& request,
                    action_list& out);
  void Reply(const grantee& asker,
             start_result verdict,
             action_list& out,
             const recorded_response& answer = {}) const;
  void Commit(time_point now, uint64_t unix_now, action_list& out);
  void Prune(uint64_t unix_now);
  shard_record MakeRecord() const;
  void Call(pending_call kind,
            platform_operation operation,
            std::string value,
            action_list& out);
  void OnClaimRead(const platform_reply& answer, action_list& out);
  void OnClaimWrite(const platform_reply& answer, action_list& out);
  void OnCommit(time_point now, const platform_reply& answer, action_list& out);
  void OnReadBack(time_point now,
                  const platform_reply& answer,
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
  /// Keys whose start waits for a write, and those in the write under way.
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
