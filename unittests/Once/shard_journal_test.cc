#include "cuminswitch/Once/shard_journal.h"

#include <gtest/gtest.h>

#include <optional>
#include <variant>

namespace cuminswitch {
namespace {

constexpr uint64_t kUnixNow = 1'800'000'000;

/// Tests a journal; the test takes its platform calls and replies to them.
class shard_journal_test : public testing::Test {
 protected:
  shard_journal_test()
      : journal_({.shard = 0, .host = "h1", .incarnation = 1}) {}

  platform_call TakeCall() {
    for (size_t i = 0; i < out_.size(); ++i) {
      if (auto* call = std::get_if<platform_call>(&out_[i])) {
        platform_call result = *call;
        out_.erase(out_.begin() + static_cast<std::ptrdiff_t>(i));
        return result;
      }
    }
    ADD_FAILURE() << "no platform call was made";
    return {};
  }

  bool HasCall() const {
    return std::any_of(out_.begin(), out_.end(), [](const core_action& a) {
      return std::holds_alternative<platform_call>(a);
    });
  }

  std::optional<start_result> TakeResult() {
    for (size_t i = 0; i < out_.size(); ++i) {
      if (auto* sent = std::get_if<send_peer>(&out_[i])) {
        const start_result result = std::get<start_reply>(sent->message).result;
        out_.erase(out_.begin() + static_cast<std::ptrdiff_t>(i));
        return result;
      }
    }
    return std::nullopt;
  }

  void ReplyTo(const platform_call& call,
               platform_status status,
               revision_number revision = 0,
               std::string value = {}) {
    journal_.OnPlatformReply(now_, kUnixNow,
                             {.tag = call.tag,
                              .status = status,
                              .revision = revision,
                              .value = std::move(value)},
                             out_);
  }

  void ClaimShard() {
    journal_.Claim(out_);
    ReplyTo(TakeCall(), platform_status::kAbsent);
    ReplyTo(TakeCall(), platform_status::kOk, 1);
    ASSERT_TRUE(journal_.is_owned());
  }

  start_request MakeStart(uint64_t key, request_id request) {
    return {.host = "h2",
            .incarnation = 1,
            .request = request,
            .key = {key, key},
            .key_issued = kUnixNow};
  }

  void Start(uint64_t key, request_id request) {
    journal_.OnStart(now_, kUnixNow, MakeStart(key, request), out_);
  }

  void Advance(int millis) {
    now_ += std::chrono::milliseconds(millis);
    journal_.OnTick(now_, kUnixNow, out_);
  }

  time_point now_{std::chrono::seconds(1)};
  shard_journal journal_;
  action_list out_;
};

TEST_F(shard_journal_test, GrantsOnlyAfterTheJournalIsWritten) {
  ClaimShard();
  Start(1, 1);
  EXPECT_EQ(TakeResult(), std::nullopt);
  const platform_call commit = TakeCall();
  EXPECT_EQ(DecodeShardRecord(commit.value).entries.size(), 1U);
  ReplyTo(commit, platform_status::kOk, 2);
  EXPECT_EQ(TakeResult(), start_result::kGranted);
}

TEST_F(shard_journal_test, BatchesStartsThatArriveDuringAWrite) {
  ClaimShard();
  Start(1, 1);
  const platform_call first = TakeCall();
  for (uint64_t key = 2; key <= 50; ++key) {
    Start(key, key);
  }
  EXPECT_FALSE(HasCall());
  ReplyTo(first, platform_status::kOk, 2);
  Advance(100);
  EXPECT_EQ(DecodeShardRecord(TakeCall().value).entries.size(), 50U);
  EXPECT_EQ(journal_.write_count(), 3U);
}

TEST_F(shard_journal_test, WaitsForTheWriteIntervalBetweenWrites) {
  ClaimShard();
  Start(1, 1);
  ReplyTo(TakeCall(), platform_status::kOk, 2);
  Start(2, 2);
  EXPECT_FALSE(HasCall());
  Advance(100);
  EXPECT_TRUE(HasCall());
}

TEST_F(shard_journal_test, RecognisesItsOwnDelayedWriteAfterAConflict) {
  ClaimShard();
  Start(1, 1);
  const platform_call commit = TakeCall();
  ReplyTo(commit, platform_status::kNoReply);
  EXPECT_EQ(TakeResult(), start_result::kRefused);
  Advance(600);
  // The read-back returns the old record; the lost write takes effect after it.
  const shard_record old{
      .epoch = 1, .owner_host = "h1", .owner_incarnation = 1};
  ReplyTo(TakeCall(), platform_status::kOk, 1, EncodeShardRecord(old));
  Start(2, 2);
  ReplyTo(TakeCall(), platform_status::kConflict, 2);
  Advance(1);
  ReplyTo(TakeCall(), platform_status::kOk, 2, commit.value);
  Advance(100);
  const platform_call again = TakeCall();
  EXPECT_EQ(again.expected, 2U);
  ReplyTo(again, platform_status::kOk, 3);
  EXPECT_EQ(TakeResult(), start_result::kGranted);
}

TEST_F(shard_journal_test, LosesOwnershipToARecordOfAnotherOwner) {
  ClaimShard();
  Start(1, 1);
  ReplyTo(TakeCall(), platform_status::kConflict, 5);
  Advance(1);
  const shard_record other{
      .epoch = 2, .owner_host = "h3", .owner_incarnation = 1};
  ReplyTo(TakeCall(), platform_status::kOk, 5, EncodeShardRecord(other));
  EXPECT_EQ(TakeResult(), start_result::kRefused);
  EXPECT_EQ(journal_.state(), shard_journal::ownership::kNone);
}

TEST_F(shard_journal_test, DoesNotServeAMalformedRecord) {
  journal_.Claim(out_);
  ReplyTo(TakeCall(), platform_status::kOk, 5, "not a record");
  EXPECT_EQ(journal_.state(), shard_journal::ownership::kNone);
}

// Guards against executing a request again under a new owner after its key was
// pruned: a successor whose clock lags finds no entry for the key and takes it
// for recent. The journaled floor makes it reject the key.
TEST_F(shard_journal_test, SuccessorWithLaggingClockRejectsPrunedKey) {
  ClaimShard();
  start_request old_start = MakeStart(1, 1);
  old_start.key_issued = kUnixNow - 500;
  journal_.OnStart(now_, kUnixNow, old_start, out_);
  ReplyTo(TakeCall(), platform_status::kOk, 2);
  EXPECT_EQ(TakeResult(), start_result::kGranted);
  now_ += std::chrono::seconds(400);
  const uint64_t later = kUnixNow + 400;
  start_request next = MakeStart(2, 2);
  next.key_issued = later;
  journal_.OnStart(now_, later, next, out_);
  const shard_record record = DecodeShardRecord(TakeCall().value);
  EXPECT_EQ(record.entries.size(), 1U);

  shard_journal successor({.shard = 0, .host = "h2", .incarnation = 1});
  out_.clear();
  successor.Claim(out_);
  const platform_call read = TakeCall();
  successor.OnPlatformReply(now_, kUnixNow,
                            {.tag = read.tag,
                             .status = platform_status::kOk,
                             .revision = 3,
                             .value = EncodeShardRecord(record)},
                            out_);
  const platform_call claim = TakeCall();
  successor.OnPlatformReply(
      now_, kUnixNow,
      {.tag = claim.tag, .status = platform_status::kOk, .revision = 4}, out_);
  successor.OnStart(now_, kUnixNow, old_start, out_);
  EXPECT_EQ(TakeResult(), start_result::kExpired);
}

TEST_F(shard_journal_test, DoesNotRecordOversizedResponses) {
  ClaimShard();
  Start(1, 1);
  ReplyTo(TakeCall(), platform_status::kOk, 2);
  TakeResult();
  journal_.OnFinish({.key = {1, 1},
                     .result = outcome::kAnswered,
                     .response = {200, "t", std::string(20'000, 'x')}});
  Start(1, 9);
  EXPECT_EQ(TakeResult(), start_result::kStarted);
}

TEST_F(shard_journal_test, ReleaseLeavesEntriesToTheSuccessor) {
  ClaimShard();
  Start(1, 1);
  ReplyTo(TakeCall(), platform_status::kOk, 2);
  TakeResult();
  journal_.Release(kUnixNow, out_);
  const shard_record record = DecodeShardRecord(TakeCall().value);
  EXPECT_TRUE(record.owner_host.empty());
  EXPECT_EQ(record.entries.size(), 1U);
}

}  // namespace
}  // namespace cuminswitch
