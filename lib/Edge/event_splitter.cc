#include "cuminswitch/Edge/event_splitter.h"

#include <algorithm>

namespace cuminswitch {

static constexpr std::string_view kEventEnd = "\n\n";
static constexpr std::string_view kEventEndCrLf = "\r\n\r\n";
static constexpr std::string_view kIdField = "id:";

/// Returns the length in bytes of the complete events at the front of \p text.
static size_t CompleteEventsLength(std::string_view text) {
  const size_t plain = text.rfind(kEventEnd);
  const size_t crlf = text.rfind(kEventEndCrLf);
  const size_t plain_end =
      plain == std::string_view::npos ? 0 : plain + kEventEnd.size();
  const size_t crlf_end =
      crlf == std::string_view::npos ? 0 : crlf + kEventEndCrLf.size();
  return std::max(plain_end, crlf_end);
}

void event_splitter::ParseIds(std::string_view events) {
  while (!events.empty()) {
    const size_t end = std::min(events.find('\n'), events.size());
    std::string_view line = events.substr(0, end);
    events.remove_prefix(std::min(end + 1, events.size()));
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
      line.remove_suffix(1);
    }
    last_id_ = std::string(line);
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
  ParseIds(buffer_);
  return buffer_;
}

}  // namespace cuminswitch
