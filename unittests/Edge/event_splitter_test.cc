// Tests that a stream that arrives in pieces is split into complete events.
#include "cuminswitch/Edge/event_splitter.h"

#include <gtest/gtest.h>
#include <malloc.h>

#include <string>

#include "cuminswitch/Net/byte_account.h"

namespace cuminswitch {
namespace {

TEST(event_splitter_test, ReturnsCompleteEventsOnly) {
  byte_account account;
  event_splitter splitter(account);
  EXPECT_EQ(splitter.Add("id: 1\ndata: a\n"), "");
  EXPECT_EQ(splitter.Add("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(splitter.last_id(), "1");
  EXPECT_EQ(splitter.Add("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_EQ(splitter.last_id(), "2");
}

// Symptom: a resumed stream contains a truncated event, or an event twice.
// Sequence: an upstream fails in the middle of event 2; another upstream
// resumes the stream after event 1.
// Cause: the incomplete part was forwarded, or its id was recorded as sent.
TEST(event_splitter_test, DropsIncompleteEvent) {
  byte_account account;
  event_splitter splitter(account);
  splitter.Add("id: 1\ndata: a\n\nid: 2\ndata: to");
  splitter.DropPartial();
  EXPECT_EQ(splitter.last_id(), "1");
  EXPECT_EQ(splitter.Add("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

TEST(event_splitter_test, ReadsEventsThatEndInCrLf) {
  byte_account account;
  event_splitter splitter(account);
  EXPECT_EQ(splitter.Add("id:7\r\ndata: a\r\n\r\n"), "id:7\r\ndata: a\r\n\r\n");
  EXPECT_EQ(splitter.last_id(), "7");
}

TEST(event_splitter_test, ReadsEventsThatEndInCr) {
  byte_account account;
  event_splitter splitter(account);
  EXPECT_EQ(splitter.Add("id:7\rdata: a\r\rid: 8"), "id:7\rdata: a\r\r");
  EXPECT_EQ(splitter.last_id(), "7");
}

TEST(event_splitter_test, ReadsCrLfThatIsSplit) {
  byte_account account;
  event_splitter splitter(account);
  std::string events(*splitter.Add("id: 1\r\n\r"));
  events += *splitter.Add("\nid: 2\r");
  events += *splitter.Add("\n\r\n");
  EXPECT_EQ(events, "id: 1\r\n\r\nid: 2\r\n\r\n");
  EXPECT_EQ(splitter.last_id(), "2");
  EXPECT_EQ(splitter.UnfinishedSize(), 0U);
}

TEST(event_splitter_test, CountsBytesOfUnfinishedEvent) {
  const auto unfinished = [](std::string_view text) {
    byte_account account;
    event_splitter splitter(account);
    splitter.Add(text);
    return splitter.UnfinishedSize();
  };
  EXPECT_EQ(unfinished(""), 0U);
  EXPECT_EQ(unfinished("id: 1\n\n"), 0U);
  EXPECT_EQ(unfinished("id: 1\n\n\n: comment\n"), 0U);
  EXPECT_EQ(unfinished("id: 1\n\n: com"), 5U);
  EXPECT_EQ(unfinished("id: 1\n\ni"), 1U);
  EXPECT_EQ(unfinished("id: 1\n"), 6U);
}

// Guards against streams that keep the memory of their largest event.
TEST(event_splitter_test, KeepsNoMemoryOfLargeEvents) {
  constexpr size_t kMaxKept = 256UL << 10;
  const auto allocated = [] {
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
  };
  byte_account account;
  const std::string event = "data: " + std::string(4 << 20, 'x') + "\n\n";
  event_splitter splitter(account);
  const size_t before = allocated();
  EXPECT_EQ(splitter.Add(event)->size(), event.size());
  EXPECT_EQ(splitter.Add("data: y\n\n")->size(), 9U);
  EXPECT_LT(allocated(), before + kMaxKept);
}

TEST(event_splitter_test, PreservesBytesForAnyPieceSize) {
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\nrest";
  for (size_t piece = 1; piece <= text.size(); ++piece) {
    byte_account account;
    event_splitter splitter(account);
    std::string whole;
    for (size_t at = 0; at < text.size(); at += piece) {
      whole += *splitter.Add(std::string_view(text).substr(at, piece));
    }
    whole += splitter.TakeRemainder();
    EXPECT_EQ(whole, text) << piece;
    EXPECT_EQ(splitter.last_id(), "3");
  }
}

}  // namespace
}  // namespace cuminswitch
