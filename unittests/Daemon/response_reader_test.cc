#include "cuminswitch/Daemon/response_reader.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace cuminswitch {
namespace {

constexpr const char* kStream =
    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
    ": a comment\r\n"
    "data:{\"usage\":{\"prompt_tokens\":90,\"completion_tokens\":7,"
    "\"prompt_tokens_details\":{\"cached_tokens\":64}}}\r\n\r\n"
    "data: [DONE]\n\n";

TEST(ResponseReaderTest, ReadsUsageAndTerminatorAtAnyFragmentation) {
  std::mt19937_64 random(3);
  const std::string stream = kStream;
  for (int round = 0; round < 500; ++round) {
    response_reader reader;
    for (size_t at = 0; at < stream.size();) {
      const size_t size = 1 + random() % 20;
      reader.Feed(std::string_view(stream).substr(at, size));
      at += size;
    }
    EXPECT_TRUE(reader.SawEnd());
    EXPECT_EQ(reader.usage().prompt_tokens, 90U);
    EXPECT_EQ(reader.usage().cached_tokens, 64U);
    EXPECT_EQ(reader.usage().completion_tokens, 7U);
  }
}

// A truncated stream must not count as complete, wherever it stops before its
// terminator: the end of the connection is not the end of the response.
TEST(ResponseReaderTest, TruncatedStreamHasNoTerminator) {
  const std::string stream = kStream;
  const size_t mark = stream.find("[DONE]") + 6;
  for (size_t size = 0; size < mark; ++size) {
    response_reader reader;
    reader.Feed(std::string_view(stream).substr(0, size));
    EXPECT_FALSE(reader.SawEnd()) << size;
  }
}

TEST(ResponseReaderTest, TerminatorInsideATokenDoesNotEndTheStream) {
  response_reader reader;
  reader.Feed("data: {\"content\":\"data: [DONE]\"}\n\n");
  EXPECT_FALSE(reader.SawEnd());
}

// A line is buffered until its line feed arrives, so a faulty engine that sends
// an endless line would grow the daemon's memory without the size limit.
TEST(ResponseReaderTest, SkipsLineOverTheSizeLimit) {
  response_reader reader;
  const std::string piece(10'000, 'x');
  for (int i = 0; i < 100; ++i) {
    reader.Feed(piece);
  }
  reader.Feed("\ndata: [DONE]\n");
  EXPECT_TRUE(reader.SawEnd());
}

TEST(ResponseReaderFuzzTest, AcceptsArbitraryBytes) {
  std::mt19937_64 random(4);
  const std::string alphabet = "data: {}[]\"usage:\n\r0123456789DONE";
  for (int round = 0; round < 2000; ++round) {
    response_reader reader;
    std::string bytes;
    for (uint64_t i = random() % 200; i > 0; --i) {
      bytes.push_back(alphabet[random() % alphabet.size()]);
    }
    reader.Feed(bytes);
    ReadUsage(bytes);
  }
}

}  // namespace
}  // namespace cuminswitch
