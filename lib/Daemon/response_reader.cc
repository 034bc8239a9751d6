#include "cuminswitch/Daemon/response_reader.h"

#include <nlohmann/json.hpp>

namespace cuminswitch {

static constexpr std::string_view kDataField = "data:";
static constexpr std::string_view kStreamTerminator = "[DONE]";
/// Longest line that is parsed, in bytes. Longer ones are skipped, so that a
/// faulty engine cannot make the daemon buffer its whole stream.
static constexpr size_t kMaxLineSize = 64UL << 10;

static uint32_t ReadCount(const nlohmann::json& json, const char* key) {
  const auto found = json.find(key);
  return found != json.end() && found->is_number_unsigned()
             ? found->get<uint32_t>()
             : 0;
}

token_usage ReadUsage(std::string_view text) {
  token_usage result;
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return result;
  }
  const auto usage = json.find("usage");
  if (usage == json.end() || !usage->is_object()) {
    return result;
  }
  result.prompt_tokens = ReadCount(*usage, "prompt_tokens");
  result.completion_tokens = ReadCount(*usage, "completion_tokens");
  const auto details = usage->find("prompt_tokens_details");
  if (details != usage->end() && details->is_object()) {
    result.cached_tokens = ReadCount(*details, "cached_tokens");
  }
  return result;
}

void response_reader::Feed(std::string_view data) {
  while (!data.empty()) {
    const size_t end = data.find('\n');
    const std::string_view piece = data.substr(0, end);
    if (partial_line_.size() + piece.size() > kMaxLineSize) {
      skipping_line_ = true;
      partial_line_.clear();
    }
    if (!skipping_line_) {
      partial_line_ += piece;
    }
    if (end == std::string_view::npos) {
      return;
    }
    if (!skipping_line_) {
      ProcessLine(partial_line_);
    }
    partial_line_.clear();
    skipping_line_ = false;
    data.remove_prefix(end + 1);
  }
}

void response_reader::ProcessLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (!line.starts_with(kDataField)) {
    return;
  }
  line.remove_prefix(kDataField.size());
  while (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  if (line == kStreamTerminator) {
    saw_end_ = true;
    return;
  }
  if (line.find("\"usage\"") != std::string_view::npos) {
    const token_usage usage = ReadUsage(line);
    if (usage.prompt_tokens != 0) {
      usage_ = usage;
    }
  }
}

}  // namespace cuminswitch
