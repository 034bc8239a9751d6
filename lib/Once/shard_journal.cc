#include "cuminswitch/Once/shard_journal.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "cuminswitch/Records/record_error.h"

namespace cuminswitch {

/// What a refused asker is told to wait. Longer than a read-back takes.
static constexpr uint32_t kRefusedRetrySeconds = 2;
static constexpr duration kReadBackInterval = std::chrono::milliseconds(500);

shard_journal::shard_journal(const options& opts) : options_(opts) {}

void shard_journal::Call(pending_call kind,
                         platform_operation operation,
                         std::string value,
                         action_list& out) {
  call_ = kind;
  ++call_serial_;
  if (operation == platform_operation::kCompareAndSwap) {
    ++write_count_;
  }
  out.push_back(platform_call{.tag = {.owner = call_owner::kShard,
                                      .shard = options_.shard,
                                      .serial = call_serial_},
                              .operation = operation,
                              .key = ShardKey(options_.shard),
                              .value = std::move(value),
                              .expected = revision_});
}

void shard_journal::Claim(action_list& out) {
  if (state_ != ownership::kNone || call_ != pending_call::kNone) {
    return;
  }
  state_ = ownership::kClaiming;
  Call(pending_call::kClaimRead, platform_operation::kRead, {}, out);
}

shard_record shard_journal::MakeRecord() const {
  shard_record record{.epoch = epoch_,
                      .owner_host = options_.host,
                      .owner_incarnation = options_.incarnation,
                      .floor = floor_,
                      .entries = {}};
  record.entries.reserve(entries_.size());
  for (const auto& [key, item] : entries_) {
    // Never granted under this epoch, so a successor may take it for new.
    if (item.state == entry_state::kUngranted) {
      continue;
    }
    record.entries.push_back({.key = key,
                              .issued = item.issued,
                              .request_digest = item.request_digest});
  }
  return record;
}

void shard_journal::AdoptRecord(const shard_record& record,
                                revision_number revision) {
  epoch_ = record.epoch;
  revision_ = revision;
  floor_ = record.floor;
  entries_.clear();
  for (const shard_entry& item : record.entries) {
    entries_[item.key] = {.state = entry_state::kRecovered,
                          .issued = item.issued,
                          .request_digest = item.request_digest,
                          .asker = {},
                          .answer = {}};
  }
}

void shard_journal::Release(uint64_t unix_now, action_list& out) {
  if (state_ != ownership::kOwned || call_ != pending_call::kNone) {
    return;
  }
  RefusePending(out);
  Prune(unix_now);
  shard_record record = MakeRecord();
  record.owner_host.clear();
  state_ = ownership::kNone;
  Call(pending_call::kHandBack, platform_operation::kCompareAndSwap,
       EncodeShardRecord(record), out);
}

bool shard_journal::IsExpired(uint64_t unix_now, uint64_t issued) const {
  const auto retention = static_cast<uint64_t>(options_.retention.count());
  const auto skew = static_cast<uint64_t>(options_.clock_skew.count());
  return issued <= floor_ || issued + retention < unix_now ||
         issued > unix_now + skew;
}

void shard_journal::Prune(uint64_t unix_now) {
  const uint64_t keep =
      static_cast<uint64_t>((options_.retention + options_.clock_skew).count());
  if (unix_now <= keep) {
    return;
  }
  // An entry may be dropped only if its key is refused from then on by every
  // later owner, whatever that one's clock says. So the floor is journaled
  // together with the entries; without it a successor whose clock is behind
  // would take a dropped key for a new one and run it again.
  floor_ = std::max(floor_, unix_now - keep);
  std::erase_if(entries_, [&](const auto& pair) {
    return pair.second.issued <= floor_ &&
           pair.second.state != entry_state::kPending;
  });
}

void shard_journal::Reply(const grantee& asker,
                          start_result verdict,
                          action_list& out,
                          const recorded_response& answer) const {
  const bool refused = verdict == start_result::kRefused;
  out.push_back(send_peer{
      .to = asker.reply_to,
      .message =
          start_reply{.request = asker.request,
                      .verdict = verdict,
                      .epoch = epoch_,
                      .retry_after_seconds = refused ? kRefusedRetrySeconds : 0,
                      .answer = answer}});
}

void shard_journal::AnswerRepeat(time_point now,
                                 entry& found,
                                 const start_request& request,
                                 action_list& out) {
  const grantee asker{.reply_to = request.reply_to,
                      .host = request.host,
                      .incarnation = request.incarnation,
                      .request = request.request};
  if (found.request_digest != request.request_digest) {
    Reply(asker, start_result::kMismatch, out);
    return;
  }
  switch (found.state) {
    case entry_state::kPending:
      if (!found.asker.IsSame(request)) {
        Reply(asker, start_result::kStarted, out);
      }
      return;
    case entry_state::kUngranted:
      found.state = entry_state::kPending;
      found.asker = asker;
      waiting_.push_back(request.key);
      next_write_ = std::max(next_write_, now);
      return;
    case entry_state::kGranted:
      // The same request asks again when the grant's message was lost. An
      // asker uses one grant per request, so granting again is idempotent.
      Reply(asker,
            found.asker.IsSame(request) ? start_result::kGranted
                                        : start_result::kStarted,
            out);
      return;
    case entry_state::kAnswered:
      Reply(asker, start_result::kAnswered, out, found.answer);
      return;
    case entry_state::kRecovered:
    case entry_state::kEndUnknown:
      Reply(asker, start_result::kStarted, out);
      return;
  }
}

void shard_journal::OnStart(time_point now,
                            uint64_t unix_now,
                            const start_request& request,
                            action_list& out) {
  const grantee asker{.reply_to = request.reply_to,
                      .host = request.host,
                      .incarnation = request.incarnation,
                      .request = request.request};
  if (state_ != ownership::kOwned && state_ != ownership::kUncertain) {
    Reply(asker, start_result::kNotOwner, out);
    return;
  }
  if (IsExpired(unix_now, request.key_issued)) {
    Reply(asker, start_result::kExpired, out);
    return;
  }
  const auto found = entries_.find(request.key);
  const bool is_new =
      found == entries_.end() || found->second.state == entry_state::kUngranted;
  // While a write's fate is open, nothing new can be journaled soon: say so
  // at once instead of holding the caller.
  if (is_new && (state_ == ownership::kUncertain ||
                 entries_.size() >= options_.max_entries)) {
    Reply(asker, start_result::kRefused, out);
    return;
  }
  if (found != entries_.end()) {
    AnswerRepeat(now, found->second, request, out);
  } else {
    entries_[request.key] = {.state = entry_state::kPending,
                             .issued = request.key_issued,
                             .request_digest = request.request_digest,
                             .asker = asker,
                             .answer = {}};
    waiting_.push_back(request.key);
  }
  Commit(now, unix_now, out);
}

void shard_journal::Commit(time_point now,
                           uint64_t unix_now,
                           action_list& out) {
  const bool may_write = state_ == ownership::kOwned &&
                         call_ == pending_call::kNone && now >= next_write_;
  if (!may_write || waiting_.empty()) {
    return;
  }
  Prune(unix_now);
  committing_.insert(committing_.end(), waiting_.begin(), waiting_.end());
  waiting_.clear();
  next_write_ = now + options_.write_interval;
  Call(pending_call::kCommit, platform_operation::kCompareAndSwap,
       EncodeShardRecord(MakeRecord()), out);
}

void shard_journal::OnTick(time_point now,
                           uint64_t unix_now,
                           action_list& out) {
  if (state_ == ownership::kUncertain && call_ == pending_call::kNone &&
      now >= next_read_back_) {
    Call(pending_call::kReadBack, platform_operation::kRead, {}, out);
    return;
  }
  Commit(now, unix_now, out);
}

void shard_journal::OnPlatformAnswer(time_point now,
                                     uint64_t unix_now,
                                     const platform_reply& answer,
                                     action_list& out) {
  if (answer.tag.serial != call_serial_ || call_ == pending_call::kNone) {
    return;
  }
  const pending_call kind = std::exchange(call_, pending_call::kNone);
  try {
    switch (kind) {
      case pending_call::kClaimRead:
        OnClaimRead(answer, out);
        break;
      case pending_call::kClaimWrite:
        OnClaimWrite(answer, out);
        break;
      case pending_call::kCommit:
        OnCommit(now, answer, out);
        break;
      case pending_call::kReadBack:
        OnReadBack(now, answer, out);
        break;
      case pending_call::kHandBack:
      case pending_call::kNone:
        break;
    }
  } catch (const record_error&) {
    // Not a record of ours: running on would risk a second start of a key
    // that the journal holds, so the shard is not served.
    Depose(out);
  }
  Commit(now, unix_now, out);
}

void shard_journal::OnClaimRead(const platform_reply& answer,
                                action_list& out) {
  if (answer.status == platform_status::kNoAnswer) {
    state_ = ownership::kNone;
    return;
  }
  if (answer.status == platform_status::kAbsent) {
    AdoptRecord({}, 0);
  } else {
    AdoptRecord(DecodeShardRecord(answer.value), answer.revision);
  }
  ++epoch_;
  Call(pending_call::kClaimWrite, platform_operation::kCompareAndSwap,
       EncodeShardRecord(MakeRecord()), out);
}

void shard_journal::OnClaimWrite(const platform_reply& answer,
                                 action_list& out) {
  switch (answer.status) {
    case platform_status::kOk:
      revision_ = answer.revision;
      state_ = ownership::kOwned;
      return;
    case platform_status::kNoAnswer:
      state_ = ownership::kUncertain;
      return;
    case platform_status::kConflict:
    case platform_status::kAbsent:
      Depose(out);
      return;
  }
}

void shard_journal::OnCommit(time_point now,
                             const platform_reply& answer,
                             action_list& out) {
  switch (answer.status) {
    case platform_status::kOk:
      revision_ = answer.revision;
      GrantCommitted(out);
      return;
    case platform_status::kNoAnswer:
      // The write may or may not have taken effect. Nothing was granted, so
      // refusing is true either way; the journal is read before the next one.
      state_ = ownership::kUncertain;
      next_read_back_ = now + kReadBackInterval;
      RefusePending(out);
      return;
    case platform_status::kConflict:
    case platform_status::kAbsent:
      // Either another daemon owns the shard now, or an earlier write of our
      // own whose answer was lost came through late. The record tells.
      state_ = ownership::kUncertain;
      next_read_back_ = now;
      return;
  }
}

void shard_journal::OnReadBack(time_point now,
                               const platform_reply& answer,
                               action_list& out) {
  if (answer.status == platform_status::kNoAnswer) {
    next_read_back_ = now + kReadBackInterval;
    RefusePending(out);
    return;
  }
  if (answer.status == platform_status::kAbsent) {
    Depose(out);
    return;
  }
  const shard_record record = DecodeShardRecord(answer.value);
  const bool mine = record.epoch == epoch_ &&
                    record.owner_host == options_.host &&
                    record.owner_incarnation == options_.incarnation;
  if (!mine) {
    Depose(out);
    return;
  }
  revision_ = answer.revision;
  state_ = ownership::kOwned;
  // A conflict leaves a batch that was neither written nor refused.
  waiting_.insert(waiting_.end(), committing_.begin(), committing_.end());
  committing_.clear();
}

void shard_journal::GrantCommitted(action_list& out) {
  for (const key_hash& key : committing_) {
    const auto found = entries_.find(key);
    if (found == entries_.end() ||
        found->second.state != entry_state::kPending) {
      continue;
    }
    found->second.state = entry_state::kGranted;
    Reply(found->second.asker, start_result::kGranted, out);
  }
  committing_.clear();
}

void shard_journal::RefusePending(action_list& out) {
  for (auto& [key, item] : entries_) {
    if (item.state == entry_state::kPending) {
      item.state = entry_state::kUngranted;
      Reply(item.asker, start_result::kRefused, out);
    }
  }
  waiting_.clear();
  committing_.clear();
}

void shard_journal::Depose(action_list& out) {
  RefusePending(out);
  entries_.clear();
  state_ = ownership::kNone;
}

void shard_journal::OnFinish(const finish_report& report) {
  const auto found = entries_.find(report.key);
  if (found == entries_.end()) {
    return;
  }
  entry& item = found->second;
  if (item.state != entry_state::kGranted &&
      item.state != entry_state::kRecovered) {
    return;
  }
  const bool replayable = report.result == outcome::kAnswered &&
                          report.answer.status != 0 &&
                          report.answer.body.size() <= options_.max_answer_size;
  item.state = replayable ? entry_state::kAnswered : entry_state::kEndUnknown;
  if (replayable) {
    item.answer = report.answer;
  }
}

void shard_journal::OnRelease(const release_report& report) {
  const auto found = entries_.find(report.key);
  if (found == entries_.end()) {
    return;
  }
  const grantee& asker = found->second.asker;
  const bool same = asker.host == report.host &&
                    asker.incarnation == report.incarnation &&
                    asker.request == report.request;
  if (!same) {
    return;
  }
  // Nothing ran under the grant and nothing will, so the key is free again.
  if (found->second.state == entry_state::kGranted ||
      found->second.state == entry_state::kPending) {
    found->second.state = entry_state::kUngranted;
  }
}

}  // namespace cuminswitch
