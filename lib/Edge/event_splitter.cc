#include "cuminswitch/Edge/event_splitter.h"

namespace cuminswitch {

static constexpr std::string_view kIdField = "id:";

/// Removes the first line, which ends in CR, LF or both, from \p text and
/// returns it without its end; `nullopt` if the line has no end yet.
static std::optional<std::string_view> ConsumeLine(std::string_view& text) {
  const size_t end = text.find_first_of("\r\n");
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(text.substr(end).starts_with("\r\n") ? end + 2 : end + 1);
  return line;
}

/// Returns the length in bytes of the complete events at the front of \p text.
static size_t CompleteEventsLength(std::string_view text) {
  size_t complete = 0;
  std::string_view rest = text;
  while (const auto line = ConsumeLine(rest)) {
    if (line->empty()) {
      complete = text.size() - rest.size();
    }
  }
  return complete;
}

void event_splitter::ParseIds(std::string_view events) {
  while (auto line = ConsumeLine(events)) {
    if (!line->starts_with(kIdField)) {
      continue;
    }
    line->remove_prefix(kIdField.size());
    while (!line->empty() && line->front() == ' ') {
      line->remove_prefix(1);
    }
    while (!line->empty() && line->back() == ' ') {
      line->remove_suffix(1);
    }
    last_id_ = std::string(*line);
  }
}

std::string_view event_splitter::Add(std::string_view data) {
  buffer_.erase(0, returned_);
  buffer_.append(data);
  returned_ = CompleteEventsLength(buffer_);
  const std::string_view events =
      std::string_view(buffer_).substr(0, returned_);
  ParseIds(events);
  return events;
}

void event_splitter::DropPartial() {
  buffer_.clear();
  returned_ = 0;
}

std::string_view event_splitter::TakeRemainder() {
  buffer_.erase(0, returned_);
  returned_ = buffer_.size();
  return buffer_;
}

size_t event_splitter::UnfinishedSize() const {
  const std::string_view remainder =
      std::string_view(buffer_).substr(returned_);
  std::string_view rest = remainder;
  while (const auto line = ConsumeLine(rest)) {
    const bool is_comment = line->starts_with(':');
    if (!line->empty() && !is_comment) {
      return remainder.size();
    }
  }
  return rest.empty() ? 0 : remainder.size();
}

}  // namespace cuminswitch
