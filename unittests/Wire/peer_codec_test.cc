#include "cuminswitch/Wire/peer_codec.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "cuminswitch/Wire/frame_error.h"

namespace cuminswitch {
namespace {

constexpr const char* kCredential = "credential";

std::span<const uint8_t> AsBytes(const std::string& text) {
  return {reinterpret_cast<const uint8_t*>(text.data()), text.size()};
}

template <class Message>
Message RoundTrip(const Message& message) {
  const std::string frame = EncodePeerMessage(message, kCredential);
  return std::get<Message>(DecodePeerMessage(AsBytes(frame), kCredential));
}

member MakeMember() {
  return {.host = "h",
          .peer_address = {"127.0.0.1", 1},
          .caller_address = {"127.0.0.1", 2},
          .failure_domain = "d",
          .incarnation = 3,
          .version = 4,
          .status = member_status::kLeaving,
          .shards = {5, 6}};
}

TEST(PeerCodecTest, HeartbeatRoundTrips) {
  const heartbeat decoded =
      RoundTrip(heartbeat{.sequence = 1,
                          .is_reply = true,
                          .sender = MakeMember(),
                          .updates = {MakeMember()},
                          .generation = 9,
                          .usage = {{.workspace_hash = 7, .in_flight = 8}}});
  EXPECT_EQ(decoded.sequence, 1U);
  EXPECT_TRUE(decoded.is_reply);
  EXPECT_EQ(decoded.sender.host, "h");
  EXPECT_EQ(decoded.sender.peer_address.port, 1);
  EXPECT_EQ(decoded.sender.status, member_status::kLeaving);
  EXPECT_EQ(decoded.sender.shards, (std::vector<shard_number>{5, 6}));
  ASSERT_EQ(decoded.updates.size(), 1U);
  EXPECT_EQ(decoded.generation, 9U);
  ASSERT_EQ(decoded.usage.size(), 1U);
  EXPECT_EQ(decoded.usage[0].in_flight, 8U);
}

TEST(PeerCodecTest, StartMessagesRoundTrip) {
  const start_request request =
      RoundTrip(start_request{.reply_to = {"127.0.0.1", 9},
                              .host = "h",
                              .incarnation = 2,
                              .request = 3,
                              .shard = 4,
                              .key = {5, 6},
                              .key_issued = 7,
                              .request_digest = {8, 9}});
  EXPECT_EQ(request.key, (hash128{5, 6}));
  EXPECT_EQ(request.request_digest, (hash128{8, 9}));
  EXPECT_EQ(request.incarnation, 2U);
  EXPECT_EQ(request.shard, 4U);
  const start_reply reply = RoundTrip(
      start_reply{.request = 3,
                  .result = start_result::kAnswered,
                  .epoch = 5,
                  .retry_after_seconds = 6,
                  .response = {200, "text/plain", std::string("a\0b", 3)}});
  EXPECT_EQ(reply.result, start_result::kAnswered);
  EXPECT_EQ(reply.response.body, std::string("a\0b", 3));
}

TEST(PeerCodecTest, OtherMessagesRoundTrip) {
  EXPECT_EQ(RoundTrip(probe_request{.target = {"127.0.0.1", 5}}).target.port,
            5);
  EXPECT_EQ(RoundTrip(probe_reply{.target = MakeMember()}).target.host, "h");
  EXPECT_EQ(
      RoundTrip(configuration_request{.held_chunks = {"x"}}).held_chunks[0],
      "x");
  const configuration_reply reply = RoundTrip(
      configuration_reply{.head = "head", .chunks = {{"hash", "text"}}});
  EXPECT_EQ(reply.head, "head");
  EXPECT_EQ(reply.chunks.at(0).text, "text");
  EXPECT_EQ(RoundTrip(finish_report{.result = outcome::kAnswered}).result,
            outcome::kAnswered);
  EXPECT_EQ(RoundTrip(release_report{.host = "h", .request = 4}).request, 4U);
}

TEST(PeerCodecTest, RejectsWrongCredential) {
  const std::string frame = EncodePeerMessage(probe_request{}, "another");
  EXPECT_THROW(DecodePeerMessage(AsBytes(frame), kCredential), frame_error);
}

// Guards against a crash on a corrupt frame from a peer: an unchecked offset,
// length or enumerator in a frame that was truncated or had bytes overwritten.
TEST(PeerCodecFuzzTest, CorruptFramesDecodeOrThrowFrameError) {
  std::mt19937_64 random(2);
  const std::vector<std::string> good = {
      EncodePeerMessage(heartbeat{.sender = MakeMember(),
                                  .updates = {MakeMember(), MakeMember()}},
                        kCredential),
      EncodePeerMessage(start_reply{.response = {200, "a", "b"}}, kCredential),
      EncodePeerMessage(configuration_reply{.chunks = {{"a", "b"}}},
                        kCredential)};
  for (int i = 0; i < 30'000; ++i) {
    std::string frame = good[random() % good.size()];
    frame.resize(random() % 4 == 0 ? random() % (frame.size() + 1)
                                   : frame.size());
    for (uint64_t flips = random() % 4; flips > 0 && !frame.empty(); --flips) {
      frame[random() % frame.size()] = static_cast<char>(random());
    }
    try {
      DecodePeerMessage(AsBytes(frame), kCredential);
    } catch (const frame_error&) {
    }
  }
}

}  // namespace
}  // namespace cuminswitch
