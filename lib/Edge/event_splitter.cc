#include "cuminswitch/Edge/event_splitter.h"

#include <algorithm>

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

size_t event_splitter::CompleteEventsLength() {
  const std::string_view text = buffer_.text();
  size_t complete = 0;
  while (true) {
    const size_t end = text.find_first_of("\r\n", searched_);
    searched_ = std::min(end, text.size());
    if (end == std::string_view::npos) {
      return complete;
    }
    const size_t next = end + (text.substr(end).starts_with("\r\n") ? 2 : 1);
    if (end == line_) {
      complete = next;
    }
    if (text[end] == '\r' && next == text.size()) {
      // A line feed that belongs to this line end may still follow.
      return complete;
    }
    line_ = next;
    searched_ = next;
  }
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

void event_splitter::DropReturned() {
  buffer_.DropFront(returned_);
  line_ -= std::min(line_, returned_);
  searched_ -= std::min(searched_, returned_);
  returned_ = 0;
}

std::optional<std::string_view> event_splitter::Add(std::string_view data) {
  DropReturned();
  if (!buffer_.Append(data)) {
    return std::nullopt;
  }
  returned_ = CompleteEventsLength();
  const std::string_view events = buffer_.text().substr(0, returned_);
  ParseIds(events);
  return events;
}

void event_splitter::DropPartial() {
  buffer_.Clear();
  returned_ = 0;
  line_ = 0;
  searched_ = 0;
}

std::string_view event_splitter::TakeRemainder() {
  DropReturned();
  returned_ = buffer_.size();
  return buffer_.text();
}

size_t event_splitter::UnfinishedSize() const {
  const std::string_view remainder = buffer_.text().substr(returned_);
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
