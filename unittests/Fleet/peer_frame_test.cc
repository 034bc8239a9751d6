// Frames between daemons, whole and damaged.
#include "cuminswitch/Fleet/peer_frame.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "cuminswitch/Fleet/packed_bytes.h"

namespace cuminswitch {
namespace {

std::span<const uint8_t> BytesOf(const std::string& text) {
  return {reinterpret_cast<const uint8_t*>(text.data()), text.size()};
}

heartbeat_frame MakeBeat() {
  return {.sender = {.name = "a",
                     .incarnation = 7,
                     .peer_address = {"10.0.0.1", 1},
                     .caller_address = {"10.0.0.1", 2},
                     .failure_domain = "d",
                     .link_rate = 200,
                     .is_ready = true,
                     .has_store = true,
                     .revision = 9},
          .recent_peers = {{"10.0.0.2", 1}},
          .changing = {"u"},
          .backlogs = {{.upstream = 3, .tokens = 400}},
          .prefixes = {{.prefix = 5,
                        .upstream = 3,
                        .incarnation = 4'000'000'000U,
                        .saved_weights = 77}}};
}

TEST(peer_frame_test, ABeatComesBack) {
  const auto frame = DecodePeerFrame(BytesOf(EncodePeerFrame(MakeBeat())));
  ASSERT_TRUE(frame);
  const auto& beat = std::get<heartbeat_frame>(*frame);
  EXPECT_EQ(beat.sender.name, "a");
  EXPECT_EQ(beat.sender.incarnation, 7U);
  EXPECT_EQ(beat.sender.caller_address, (endpoint{"10.0.0.1", 2}));
  EXPECT_EQ(beat.sender.link_rate, 200U);
  EXPECT_TRUE(beat.sender.is_ready);
  EXPECT_FALSE(beat.sender.is_leaving);
  EXPECT_TRUE(beat.sender.has_store);
  EXPECT_EQ(beat.sender.revision, 9U);
  EXPECT_EQ(beat.recent_peers.size(), 1U);
  EXPECT_EQ(beat.changing, std::vector<std::string>{"u"});
  EXPECT_EQ(beat.backlogs[0].tokens, 400U);
  EXPECT_EQ(beat.prefixes[0].prefix, 5U);
  EXPECT_EQ(beat.prefixes[0].incarnation, 4'000'000'000U);
  EXPECT_EQ(beat.prefixes[0].saved_weights, 77U);
}

TEST(peer_frame_test, EvidenceOfTheStoreComesBack) {
  heartbeat_frame beat = MakeBeat();
  beat.freshness = {.daemon_hash = 12, .age = std::chrono::milliseconds(340)};
  const auto frame = DecodePeerFrame(BytesOf(EncodePeerFrame(beat)));
  ASSERT_TRUE(frame);
  EXPECT_EQ(std::get<heartbeat_frame>(*frame).freshness, beat.freshness);
  beat.sender.recovery = {
      .event = 4, .left = std::chrono::seconds(2), .revision = 8};
  const auto awaiting = DecodePeerFrame(BytesOf(EncodePeerFrame(beat)));
  ASSERT_TRUE(awaiting);
  EXPECT_EQ(std::get<heartbeat_frame>(*awaiting).sender.recovery,
            beat.sender.recovery);
  beat.freshness->age = -std::chrono::milliseconds(1);
  EXPECT_FALSE(DecodePeerFrame(BytesOf(EncodePeerFrame(beat))));
  beat.freshness.reset();
  const auto without = DecodePeerFrame(BytesOf(EncodePeerFrame(beat)));
  ASSERT_TRUE(without);
  EXPECT_FALSE(std::get<heartbeat_frame>(*without).freshness);
}

TEST(peer_frame_test, ItemsComeBack) {
  const items_reply_frame sent{
      .revision = 4,
      .is_complete = true,
      .items = {{.key = "a", .value = std::string("\0x", 2), .revision = 2},
                {.key = "b", .value = "", .revision = 3},
                {.key = "c", .value = std::nullopt, .revision = 4}}};
  const auto frame = DecodePeerFrame(BytesOf(EncodePeerFrame(sent)));
  ASSERT_TRUE(frame);
  const auto& reply = std::get<items_reply_frame>(*frame);
  EXPECT_TRUE(reply.is_complete);
  EXPECT_EQ(reply.items[0].value, std::string("\0x", 2));
  EXPECT_EQ(reply.items[1].value, "");
  EXPECT_EQ(reply.items[2].value, std::nullopt);
}

items_reply_frame MakeList(int size) {
  items_reply_frame frame{.revision = 9, .is_complete = true, .items = {}};
  for (int i = 0; i < size; ++i) {
    const std::string number = std::to_string(i);
    frame.items.push_back(
        {.key = "upstreams/i-" + number,
         .value = R"({"service":"reader","address":"10.0.0.)" + number +
                  R"(:8602","domain":"north-a","state":"ready","models":)"
                  R"([{"name":"m0","version":3,"adapters":[]}],"slots":24})",
         .revision = static_cast<revision_number>(i + 1)});
  }
  return frame;
}

// Symptom: hosts with narrow links wait for seconds for a list of upstreams.
// Cause: 3,000 items of 200 bytes went as they are.
TEST(peer_frame_test, AListIsMuchSmallerThanItsItems) {
  const items_reply_frame list = MakeList(3'000);
  size_t size = 0;
  for (const item_change& item : list.items) {
    size += item.key.size() + item.value->size();
  }
  EXPECT_LT(EncodePeerFrame(list).size() * 5, size);
}

// Symptom: a host with 88 MB ends for want of memory. Cause: a damaged frame
// claims a list of four gigabytes.
TEST(peer_frame_test, AClaimedSizeReservesNothing) {
  const std::array<uint8_t, 3> bytes = {1, 2, 3};
  EXPECT_FALSE(UnpackBytes(bytes, kMaxUnpackedSize));
  EXPECT_FALSE(UnpackBytes(bytes, size_t{4} << 30));
  EXPECT_EQ(UnpackBytes(PackBytes(bytes), 3),
            std::vector<uint8_t>(bytes.begin(), bytes.end()));
  EXPECT_FALSE(UnpackBytes(PackBytes(bytes), 4));
}

// Symptom: a damaged frame crashes a daemon. Seeded damage.
TEST(peer_frame_test, DamageIsRefusedOrHarmless) {
  const std::string beat = EncodePeerFrame(MakeBeat());
  const std::string list = EncodePeerFrame(MakeList(20));
  uint32_t state = 3;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = round % 2 == 0 ? beat : list;
    for (int i = 0; i < 3; ++i) {
      state = state * 1664525 + 1013904223;
      bytes[(state >> 8) % bytes.size()] = static_cast<char>(state >> 24);
    }
    bytes.resize(bytes.size() - (state >> 8) % 5);
    static_cast<void>(DecodePeerFrame(BytesOf(bytes)));
  }
}

quota_query MakeAsk() {
  return {.from = {"10.0.0.1", 1},
          .ticket = 5,
          .subject = 6,
          .limit = {.rate = 100, .burst = 200, .version = 3},
          .weight = -9.5,
          .digest = 8,
          .max_wait = std::chrono::milliseconds(1'500),
          .is_final = true,
          .last_level = quota_level{
              .owner = 2, .level = -7, .age = std::chrono::milliseconds(40)}};
}

TEST(peer_frame_test, AQuotaQuestionComesBack) {
  const auto frame = DecodePeerFrame(BytesOf(EncodePeerFrame(MakeAsk())));
  ASSERT_TRUE(frame.has_value());
  const auto& ask = std::get<quota_query>(*frame);
  EXPECT_EQ(ask.from, MakeAsk().from);
  EXPECT_EQ(ask.ticket, 5U);
  EXPECT_EQ(ask.limit.version, 3U);
  EXPECT_EQ(ask.weight, -9.5);
  EXPECT_EQ(ask.max_wait, MakeAsk().max_wait);
  EXPECT_TRUE(ask.is_final);
  ASSERT_TRUE(ask.last_level.has_value());
  EXPECT_EQ(ask.last_level->level, -7);
  EXPECT_EQ(ask.last_level->age, MakeAsk().last_level->age);
}

TEST(peer_frame_test, AQuotaAnswerComesBack) {
  const quota_reply verdict{.ticket = 5,
                            .is_admitted = true,
                            .retry_after = std::chrono::milliseconds(20),
                            .owner = 9,
                            .level = -3,
                            .share = 0.5};
  const auto frame = DecodePeerFrame(BytesOf(EncodePeerFrame(verdict)));
  ASSERT_TRUE(frame.has_value());
  const auto& back = std::get<quota_reply>(*frame);
  EXPECT_EQ(back.ticket, 5U);
  EXPECT_TRUE(back.is_admitted);
  EXPECT_EQ(back.retry_after, verdict.retry_after);
  EXPECT_EQ(back.level, -3);
  EXPECT_EQ(back.share, 0.5);
}

TEST(peer_frame_test, LimitsOfUpstreamsComeBack) {
  heartbeat_frame beat = MakeBeat();
  beat.limits = {{.upstream = 7, .rate = 1.3, .age = std::chrono::seconds(2)},
                 {.upstream = 8, .has_ended = true}};
  const auto frame = DecodePeerFrame(BytesOf(EncodePeerFrame(beat)));
  ASSERT_TRUE(frame.has_value());
  const auto& limits = std::get<heartbeat_frame>(*frame).limits;
  ASSERT_EQ(limits.size(), 2U);
  EXPECT_EQ(limits[0].upstream, 7U);
  EXPECT_EQ(limits[0].rate, 1.3);
  EXPECT_EQ(limits[0].age, std::chrono::seconds(2));
  EXPECT_FALSE(limits[0].has_ended);
  EXPECT_TRUE(limits[1].has_ended);

  quota_query ask = MakeAsk();
  ask.kind = quota_kind::kUpstream;
  ask.limit_age = std::chrono::milliseconds(90);
  const auto asked = DecodePeerFrame(BytesOf(EncodePeerFrame(ask)));
  EXPECT_EQ(std::get<quota_query>(*asked).kind, quota_kind::kUpstream);
  EXPECT_EQ(std::get<quota_query>(*asked).limit_age, ask.limit_age);
  const auto answered = DecodePeerFrame(BytesOf(EncodePeerFrame(
      quota_reply{.kind = quota_kind::kUpstream, .ticket = 5})));
  EXPECT_EQ(std::get<quota_reply>(*answered).kind, quota_kind::kUpstream);
}

TEST(peer_frame_test, ALimitWithoutSenseIsRefused) {
  for (const limit_update& item :
       {limit_update{.rate = std::nan("")}, limit_update{.rate = -1},
        limit_update{.rate = 1, .age = duration(-1)},
        limit_update{.rate = 1, .age = duration::max()}}) {
    heartbeat_frame beat = MakeBeat();
    beat.limits = {item};
    EXPECT_FALSE(DecodePeerFrame(BytesOf(EncodePeerFrame(beat))).has_value());
  }
  quota_query ask = MakeAsk();
  ask.limit_age = duration::max();
  EXPECT_FALSE(DecodePeerFrame(BytesOf(EncodePeerFrame(ask))).has_value());
}

TEST(peer_frame_test, NewsOfCrashingRequestsComeBack) {
  heartbeat_frame beat = MakeBeat();
  const hash128 request{.high = 1, .low = 2};
  beat.quarantine = {
      .crashes = {{.request = request,
                   .upstream = 3,
                   .age = std::chrono::seconds(4),
                   .took = std::chrono::milliseconds(5)}},
      .completions = {{.request = request, .age = std::chrono::seconds(6)}}};
  const auto frame = DecodePeerFrame(BytesOf(EncodePeerFrame(beat)));
  ASSERT_TRUE(frame.has_value());
  const quarantine_update& news = std::get<heartbeat_frame>(*frame).quarantine;
  ASSERT_EQ(news.crashes.size(), 1U);
  EXPECT_EQ(news.crashes[0].request, request);
  EXPECT_EQ(news.crashes[0].upstream, 3U);
  EXPECT_EQ(news.crashes[0].age, std::chrono::seconds(4));
  EXPECT_EQ(news.crashes[0].took, std::chrono::milliseconds(5));
  ASSERT_EQ(news.completions.size(), 1U);
  EXPECT_EQ(news.completions[0].request, request);
  EXPECT_EQ(news.completions[0].age, std::chrono::seconds(6));

  beat.quarantine.completions[0].age = duration(-1);
  EXPECT_FALSE(DecodePeerFrame(BytesOf(EncodePeerFrame(beat))).has_value());
  beat.quarantine.completions.clear();
  beat.quarantine.crashes[0].took = duration::max();
  EXPECT_FALSE(DecodePeerFrame(BytesOf(EncodePeerFrame(beat))).has_value());
}

// One number that is none would stay in an owner's bucket for good.
TEST(peer_frame_test, AQuotaQuestionWithoutSenseIsRefused) {
  quota_query ask = MakeAsk();
  ask.weight = std::nan("");
  EXPECT_FALSE(DecodePeerFrame(BytesOf(EncodePeerFrame(ask))).has_value());
  ask = MakeAsk();
  ask.limit.rate = -1;
  EXPECT_FALSE(DecodePeerFrame(BytesOf(EncodePeerFrame(ask))).has_value());
  ask = MakeAsk();
  ask.last_level->level = -std::numeric_limits<double>::infinity();
  EXPECT_FALSE(DecodePeerFrame(BytesOf(EncodePeerFrame(ask))).has_value());
}

/// A beat that tells of \p members.
heartbeat_frame TellsOf(std::vector<member_update> members) {
  const endpoint address{"10.0.0.1", 7};
  return {.sender = {.name = "a",
                     .peer_address = address,
                     .caller_address = address},
          .is_watched = true,
          .members = std::move(members)};
}

std::optional<peer_frame> SendAndReceive(const heartbeat_frame& beat) {
  const std::string bytes = EncodePeerFrame(beat);
  return DecodePeerFrame(
      {reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()});
}

TEST(peer_frame_test, NewsOfMembersComeBack) {
  const member_update lives{.record = {.name = "b",
                                       .incarnation = 5,
                                       .version = 3,
                                       .peer_address = {"10.0.0.2", 7},
                                       .caller_address = {"10.0.0.2", 8},
                                       .failure_domain = "z",
                                       .link_rate = 20,
                                       .is_ready = true}};
  const member_update silent{
      .record = {.name = "c", .incarnation = 6, .version = 9},
      .is_suspected = true};
  const auto frame = SendAndReceive(TellsOf({lives, silent}));
  ASSERT_TRUE(frame.has_value());
  const auto& beat = std::get<heartbeat_frame>(*frame);
  EXPECT_TRUE(beat.is_watched);
  ASSERT_EQ(beat.members.size(), 2U);
  EXPECT_EQ(beat.members[0].record.caller_address, lives.record.caller_address);
  EXPECT_EQ(beat.members[0].record.version, 3U);
  EXPECT_TRUE(beat.members[0].record.is_ready);
  EXPECT_TRUE(beat.members[1].is_suspected);
  EXPECT_EQ(beat.members[1].record.version, 9U);
}

// A peer that has gone wrong fills the lists of all others.
TEST(peer_frame_test, NewsOfMembersWithoutSenseAreRefused) {
  const member_update nowhere{.record = {.name = "b"}};
  EXPECT_FALSE(SendAndReceive(TellsOf({nowhere})).has_value());
  const member_update silent{.record = {.name = "c"}, .is_suspected = true};
  EXPECT_TRUE(SendAndReceive(TellsOf(std::vector(64, silent))).has_value());
  EXPECT_FALSE(SendAndReceive(TellsOf(std::vector(65, silent))).has_value());
}

}  // namespace
}  // namespace cuminswitch
