#include <gtest/gtest.h>

#include <random>
#include <string>

#include "cuminswitch/Records/configuration_head.h"
#include "cuminswitch/Records/record_error.h"
#include "cuminswitch/Records/shard_record.h"

namespace cuminswitch {
namespace {

TEST(ShardRecordTest, RoundTrips) {
  const shard_record record{
      .epoch = 7,
      .owner_host = "h1",
      .owner_incarnation = 9,
      .floor = 100,
      .entries = {{.key = {1, 2}, .issued = 3, .request_digest = {4, 5}}}};
  const shard_record decoded = DecodeShardRecord(EncodeShardRecord(record));
  EXPECT_EQ(decoded.epoch, 7U);
  EXPECT_EQ(decoded.owner_host, "h1");
  EXPECT_EQ(decoded.owner_incarnation, 9U);
  EXPECT_EQ(decoded.floor, 100U);
  ASSERT_EQ(decoded.entries.size(), 1U);
  EXPECT_EQ(decoded.entries[0].key, (hash128{1, 2}));
  EXPECT_EQ(decoded.entries[0].issued, 3U);
  EXPECT_EQ(decoded.entries[0].request_digest, (hash128{4, 5}));
}

TEST(ConfigurationHeadTest, RoundTrips) {
  const configuration_head head{
      .generation = 3, .submission = "s", .chunk_hashes = {"a", "b"}};
  const configuration_head decoded =
      DecodeConfigurationHead(EncodeConfigurationHead(head));
  EXPECT_EQ(decoded.generation, 3U);
  EXPECT_EQ(decoded.submission, "s");
  EXPECT_EQ(decoded.chunk_hashes, head.chunk_hashes);
}

// Guards against a crash on malformed records: a decoder that trusts lengths
// and offsets reads past the end of records that were truncated or had bytes
// overwritten at random.
TEST(RecordFuzzTest, CorruptBytesDecodeOrThrowRecordError) {
  std::mt19937_64 random(1);
  const std::string good = EncodeShardRecord(
      {.epoch = 1, .owner_host = "host", .entries = {{.key = {1, 2}}, {}}});
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good.substr(0, random() % (good.size() + 1));
    for (uint64_t flips = random() % 4; flips > 0 && !bytes.empty(); --flips) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    try {
      DecodeShardRecord(bytes);
    } catch (const record_error&) {
    }
    try {
      DecodeConfigurationHead(bytes);
    } catch (const record_error&) {
    }
  }
}

}  // namespace
}  // namespace cuminswitch
