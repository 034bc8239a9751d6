#include "cuminswitch/Daemon/chat_request.h"

#include <gtest/gtest.h>

#include <string>

namespace cuminswitch {
namespace {

std::string MakeBody(const std::string& contract, const std::string& order) {
  return R"({"model":"m","stream":true,"messages":[)"
         R"({"role":"system","content":"preamble"},)"
         R"({"role":"system","content":")" +
         contract + R"("},{"role":"user","content":")" + order + R"("}]})";
}

TEST(ChatRequestTest, MakesOneLevelPerMessage) {
  const chat_request chat = ParseChatRequest(MakeBody("contract", "order"));
  EXPECT_EQ(chat.model, "m");
  EXPECT_TRUE(chat.stream);
  ASSERT_EQ(chat.levels.size(), 3U);
  EXPECT_LE(chat.levels[0].tokens, chat.levels[1].tokens);
  EXPECT_EQ(chat.prompt_tokens, chat.levels[2].tokens);
}

TEST(ChatRequestTest, LevelsAgreeUpToTheFirstDifference) {
  const chat_request a = ParseChatRequest(MakeBody("contract", "peppers"));
  const chat_request b = ParseChatRequest(MakeBody("contract", "onions"));
  const chat_request c = ParseChatRequest(MakeBody("another", "peppers"));
  EXPECT_EQ(a.levels[1].hash, b.levels[1].hash);
  EXPECT_NE(a.levels[2].hash, b.levels[2].hash);
  EXPECT_EQ(a.levels[0].hash, c.levels[0].hash);
  EXPECT_NE(a.levels[1].hash, c.levels[1].hash);
  EXPECT_NE(a.levels[2].hash, c.levels[2].hash);
}

TEST(ChatRequestTest, RejectsMalformedBodies) {
  for (const char* body :
       {"", "[]", "{", R"({"model":1})", R"({"model":"m"})",
        R"({"model":"m","messages":[]})", R"({"model":"m","messages":[3]})",
        R"({"model":"m","messages":[{"role":"user"}]})",
        R"({"model":"m","stream":1,"messages":[{"content":"x"}]})"}) {
    EXPECT_THROW(ParseChatRequest(body), chat_request_error) << body;
  }
}

}  // namespace
}  // namespace cuminswitch
