/// \file
/// Structured log lines on a descriptor that may stop to take them.
#ifndef CUMINSWITCH_LOG_EVENT_LOG_H_
#define CUMINSWITCH_LOG_EVENT_LOG_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace cuminswitch {

/// What a line is about; each class has a budget of its own.
enum class log_class : uint8_t {
  /// A decision that touches one request. Dropped first.
  kRequest,
  /// A change of what the process believes.
  kBelief,
  /// Start, stop, reload, a dependency lost or regained, an error.
  kLifecycle,
};

/// One line under construction: `event`, then fields in the order of adding.
class log_line {
 public:
  explicit log_line(std::string_view event);
  log_line& Add(std::string_view name, std::string_view value);
  log_line& Add(std::string_view name, const char* value) {
    return Add(name, std::string_view(value));
  }
  log_line& Add(std::string_view name, const std::string& value) {
    return Add(name, std::string_view(value));
  }
  log_line& Add(std::string_view name, int64_t value);
  log_line& Add(std::string_view name, uint64_t value);
  log_line& Add(std::string_view name, uint32_t value) {
    return Add(name, uint64_t{value});
  }
  log_line& Add(std::string_view name, int value) {
    return Add(name, int64_t{value});
  }
  log_line& Add(std::string_view name, bool value);
  /// Adds up to three significant digits.
  log_line& Add(std::string_view name, double value);
  /// Adds milliseconds.
  log_line& Add(std::string_view name, std::chrono::microseconds value);

  const std::string& text() const { return text_; }

 private:
  void AddName(std::string_view name);

  std::string text_;
};

/// Keeps lines until the descriptor takes them and never waits for it. A reader
/// that stops reading costs lines, not requests; what was dropped is counted
/// and told in a line of its own.
class event_log {
 public:
  struct options {
    int descriptor = 1;
    /// Bytes kept for a reader that is behind. Hosts have little memory.
    size_t max_pending = 256UL << 10;
    /// Lines about requests in one second; about twice what a host of the
    /// largest deployment serves.
    uint32_t max_request_lines = 400;
  };

  explicit event_log(const options& opts) : options_(opts) {}

  void Write(log_class kind, const log_line& line);
  /// Hands on what the descriptor takes now.
  void Flush();
  bool HasPending() const { return pending_size_ > 0; }
  uint64_t dropped_count() const { return dropped_total_; }
  uint64_t written_count() const { return written_; }

 private:
  struct entry {
    log_class kind = log_class::kRequest;
    std::string text;
  };

  bool TakeBudget();
  void Push(log_class kind, std::string text);
  /// Makes room by dropping the oldest line of the least important class.
  bool MakeRoom(size_t size, log_class kind);
  void ReportDropped();

  options options_;
  std::deque<entry> lines_;
  size_t pending_size_ = 0;
  /// Of the first line, already taken by the descriptor.
  size_t front_written_ = 0;
  uint64_t dropped_ = 0;
  uint64_t dropped_total_ = 0;
  uint64_t written_ = 0;
  uint32_t request_lines_ = 0;
  std::chrono::steady_clock::time_point second_began_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LOG_EVENT_LOG_H_
