#include "cuminswitch/CommandLine/option_parser.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

TEST(OptionParserTest, ParsesOptionsAndReturnsOtherArguments) {
  std::string text;
  int count = 0;
  bool flag = false;
  option_parser parser("p", "");
  parser.AddString("text", text, "");
  parser.AddInteger("count", count, "");
  parser.AddFlag("flag", flag, "");
  const auto rest =
      parser.Parse({"a", "--text", "x", "--count=3", "--flag", "b"});
  EXPECT_EQ(text, "x");
  EXPECT_EQ(count, 3);
  EXPECT_TRUE(flag);
  EXPECT_EQ(rest, (std::vector<std::string>{"a", "b"}));
}

TEST(OptionParserTest, NamesAnUnknownOption) {
  option_parser parser("p", "");
  try {
    parser.Parse({"--nothing"});
    FAIL();
  } catch (const usage_error& error) {
    EXPECT_NE(std::string(error.what()).find("--nothing"), std::string::npos);
  }
}

}  // namespace
}  // namespace cuminswitch
