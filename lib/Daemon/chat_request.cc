#include "cuminswitch/Daemon/chat_request.h"

#include <nlohmann/json.hpp>

namespace cuminswitch {

static std::string ReadText(const nlohmann::json& content) {
  if (content.is_string()) {
    return content.get<std::string>();
  }
  // Multi-part content: the serialized JSON is hashed and counted, since parts
  // may also hold non-text data.
  return content.dump();
}

chat_request ParseChatRequest(std::string_view body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    throw chat_request_error("the body is not a JSON object");
  }
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string()) {
    throw chat_request_error("\"model\" must be a string");
  }
  const auto messages = json.find("messages");
  if (messages == json.end() || !messages->is_array() || messages->empty()) {
    throw chat_request_error("\"messages\" must be an array with an item");
  }
  chat_request result;
  result.model = model->get<std::string>();
  if (const auto stream = json.find("stream"); stream != json.end()) {
    if (!stream->is_boolean()) {
      throw chat_request_error("\"stream\" must be true or false");
    }
    result.stream = stream->get<bool>();
  }
  uint64_t hash = 0;
  size_t length = 0;
  for (const auto& message : *messages) {
    if (!message.is_object() || !message.contains("content")) {
      throw chat_request_error("each message must have \"content\"");
    }
    const std::string text = ReadText(message["content"]);
    hash = Hash64(message.value("role", nlohmann::json()).dump(), hash);
    hash = Hash64(text, hash);
    length += text.size();
    result.levels.push_back(
        {.hash = hash,
         .tokens = static_cast<uint32_t>(length / kBytesPerToken)});
  }
  result.prompt_tokens = result.levels.back().tokens;
  return result;
}

}  // namespace cuminswitch
