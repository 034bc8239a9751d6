#include "cuminswitch/Once/shard_journal.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "cuminswitch/Records/record_error.h"

namespace cuminswitch {

/// Retry delay sent with a refusal; longer than a read-back takes.
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
    // Not granted under this epoch, so a successor may accept the key as new.
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
                          .requester = {},
                          .response = {}};
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
  Call(pending_call::kReleaseWrite, platform_operation::kCompareAndSwap,
       EncodeShardRecord(record), out);
}

bool shard_journal::IsExpired(uint64_t unix_now, uint64_t issued) const {
  const auto retention = static_cast<uint64_t>(options_.retention.count());
  const auto skew = static_cast<uint64_t>(options_.clock_skew.count());
  return issued <= floor_ || issued + retention < unix_now ||
         issued > unix_now + skew;
}

void shard_journal::Prune(uint64_t unix_now) {
  const uint64_t retained_seconds =
      static_cast<uint64_t>((options_.retention + options_.clock_skew).count());
  if (unix_now <= retained_seconds) {
    return;
  }
  // An entry may be removed only if every later owner rejects its key, whatever
  // that owner's clock says. The floor is therefore journaled with the entries:
  // without it, a successor whose clock lags would accept a removed key as new
  // and execute the request again.
  floor_ = std::max(floor_, unix_now - retained_seconds);
  std::erase_if(entries_, [&](const auto& pair) {
    return pair.second.issued <= floor_ &&
           pair.second.state != entry_state::kPending;
  });
}

void shard_journal::Reply(const grantee& requester,
                          start_result result,
                          action_list& out,
                          const recorded_response& response) const {
  const bool refused = result == start_result::kRefused;
  out.push_back(send_peer{
      .to = requester.reply_to,
      .message =
          start_reply{.request = requester.request,
                      .result = result,
                      .epoch = epoch_,
                      .retry_after_seconds = refused ? kRefusedRetrySeconds : 0,
                      .response = response}});
}

void shard_journal::ReplyToRepeatedStart(time_point now,
                                         entry& found,
                                         const start_request& request,
                                         action_list& out) {
  const grantee requester{.reply_to = request.reply_to,
                          .host = request.host,
                          .incarnation = request.incarnation,
                          .request = request.request};
  if (found.request_digest != request.request_digest) {
    Reply(requester, start_result::kMismatch, out);
    return;
  }
  switch (found.state) {
    case entry_state::kPending:
      if (!found.requester.IsSame(request)) {
        Reply(requester, start_result::kStarted, out);
      }
      return;
    case entry_state::kUngranted:
      found.state = entry_state::kPending;
      found.requester = requester;
      waiting_.push_back(request.key);
      next_write_ = std::max(next_write_, now);
      return;
    case entry_state::kGranted:
      // A request repeats its start when the grant's message was lost. A
      // requester uses one grant per request, so granting again is idempotent.
      Reply(requester,
            found.requester.IsSame(request) ? start_result::kGranted
                                            : start_result::kStarted,
            out);
      return;
    case entry_state::kAnswered:
      Reply(requester, start_result::kAnswered, out, found.response);
      return;
    case entry_state::kRecovered:
    case entry_state::kResultUnknown:
      Reply(requester, start_result::kStarted, out);
      return;
  }
}

void shard_journal::OnStart(time_point now,
                            uint64_t unix_now,
                            const start_request& request,
                            action_list& out) {
  const grantee requester{.reply_to = request.reply_to,
                          .host = request.host,
                          .incarnation = request.incarnation,
                          .request = request.request};
  if (state_ != ownership::kOwned && state_ != ownership::kUncertain) {
    Reply(requester, start_result::kNotOwner, out);
    return;
  }
  if (IsExpired(unix_now, request.key_issued)) {
    Reply(requester, start_result::kExpired, out);
    return;
  }
  const auto found = entries_.find(request.key);
  const bool is_new =
      found == entries_.end() || found->second.state == entry_state::kUngranted;
  // While the outcome of a write is unknown or the journal is full, no new
  // start can be journaled soon: refuse at once instead of keeping the caller
  // waiting.
  if (is_new && (state_ == ownership::kUncertain ||
                 entries_.size() >= options_.max_entries)) {
    Reply(requester, start_result::kRefused, out);
    return;
  }
  if (found != entries_.end()) {
    ReplyToRepeatedStart(now, found->second, request, out);
  } else {
    entries_[request.key] = {.state = entry_state::kPending,
                             .issued = request.key_issued,
                             .request_digest = request.request_digest,
                             .requester = requester,
                             .response = {}};
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

void shard_journal::OnPlatformReply(time_point now,
                                    uint64_t unix_now,
                                    const platform_reply& reply,
                                    action_list& out) {
  if (reply.tag.serial != call_serial_ || call_ == pending_call::kNone) {
    return;
  }
  const pending_call kind = std::exchange(call_, pending_call::kNone);
  try {
    switch (kind) {
      case pending_call::kClaimRead:
        OnClaimRead(reply, out);
        break;
      case pending_call::kClaimWrite:
        OnClaimWrite(reply, out);
        break;
      case pending_call::kCommit:
        OnCommit(now, reply, out);
        break;
      case pending_call::kReadBack:
        OnReadBack(now, reply, out);
        break;
      case pending_call::kReleaseWrite:
      case pending_call::kNone:
        break;
    }
  } catch (const record_error&) {
    // The record cannot be decoded. Serving the shard without it would risk
    // starting a journaled key a second time, so ownership is given up.
    Depose(out);
  }
  Commit(now, unix_now, out);
}

void shard_journal::OnClaimRead(const platform_reply& reply, action_list& out) {
  if (reply.status == platform_status::kNoReply) {
    state_ = ownership::kNone;
    return;
  }
  if (reply.status == platform_status::kAbsent) {
    AdoptRecord({}, 0);
  } else {
    AdoptRecord(DecodeShardRecord(reply.value), reply.revision);
  }
  ++epoch_;
  Call(pending_call::kClaimWrite, platform_operation::kCompareAndSwap,
       EncodeShardRecord(MakeRecord()), out);
}

void shard_journal::OnClaimWrite(const platform_reply& reply,
                                 action_list& out) {
  switch (reply.status) {
    case platform_status::kOk:
      revision_ = reply.revision;
      state_ = ownership::kOwned;
      return;
    case platform_status::kNoReply:
      state_ = ownership::kUncertain;
      return;
    case platform_status::kConflict:
    case platform_status::kAbsent:
      Depose(out);
      return;
  }
}

void shard_journal::OnCommit(time_point now,
                             const platform_reply& reply,
                             action_list& out) {
  switch (reply.status) {
    case platform_status::kOk:
      revision_ = reply.revision;
      GrantCommitted(out);
      return;
    case platform_status::kNoReply:
      // The write may or may not have taken effect. Nothing was granted, so a
      // refusal is correct either way; the record is read back before the next
      // write.
      state_ = ownership::kUncertain;
      next_read_back_ = now + kReadBackInterval;
      RefusePending(out);
      return;
    case platform_status::kConflict:
    case platform_status::kAbsent:
      // Either another daemon owns the shard now, or an earlier write of this
      // daemon, whose reply was lost, took effect late. The read-back shows
      // which.
      state_ = ownership::kUncertain;
      next_read_back_ = now;
      return;
  }
}

void shard_journal::OnReadBack(time_point now,
                               const platform_reply& reply,
                               action_list& out) {
  if (reply.status == platform_status::kNoReply) {
    next_read_back_ = now + kReadBackInterval;
    RefusePending(out);
    return;
  }
  if (reply.status == platform_status::kAbsent) {
    Depose(out);
    return;
  }
  const shard_record record = DecodeShardRecord(reply.value);
  const bool is_own_record = record.epoch == epoch_ &&
                             record.owner_host == options_.host &&
                             record.owner_incarnation == options_.incarnation;
  if (!is_own_record) {
    Depose(out);
    return;
  }
  revision_ = reply.revision;
  state_ = ownership::kOwned;
  // After a conflict the batch was neither written nor refused; retry it.
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
    Reply(found->second.requester, start_result::kGranted, out);
  }
  committing_.clear();
}

void shard_journal::RefusePending(action_list& out) {
  for (auto& [key, item] : entries_) {
    if (item.state == entry_state::kPending) {
      item.state = entry_state::kUngranted;
      Reply(item.requester, start_result::kRefused, out);
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
  const bool replayable =
      report.result == outcome::kAnswered && report.response.status != 0 &&
      report.response.body.size() <= options_.max_response_size;
  item.state =
      replayable ? entry_state::kAnswered : entry_state::kResultUnknown;
  if (replayable) {
    item.response = report.response;
  }
}

void shard_journal::OnRelease(const release_report& report) {
  const auto found = entries_.find(report.key);
  if (found == entries_.end()) {
    return;
  }
  const grantee& requester = found->second.requester;
  const bool same = requester.host == report.host &&
                    requester.incarnation == report.incarnation &&
                    requester.request == report.request;
  if (!same) {
    return;
  }
  // Nothing was executed under the grant and nothing will be, so the key may be
  // granted again.
  if (found->second.state == entry_state::kGranted ||
      found->second.state == entry_state::kPending) {
    found->second.state = entry_state::kUngranted;
  }
}

}  // namespace cuminswitch
