/// \file
/// Structured log lines, written to a descriptor that may stop accepting them.
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

/// What a line is about, ordered by importance: when pending lines exceed their
/// bound, the oldest line of the lowest class is dropped first.
enum class log_class : uint8_t {
  /// A decision about one request. Also bounded by a number of lines a second.
  kRequest,
  /// A change of the process's view of peers, upstreams or configuration.
  kStateChange,
  /// Start, stop, reload, an error, or a dependency lost or regained.
  kLifecycle,
};

/// Builds one line, a JSON object: the time, `event`, then the fields in the
/// order in which they are added.
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
  /// Adds \p value rounded to three significant digits.
  log_line& Add(std::string_view name, double value);
  /// Adds \p value in whole milliseconds, truncated.
  log_line& Add(std::string_view name, std::chrono::microseconds value);

  /// The line so far, without the closing brace.
  const std::string& text() const { return text_; }

 private:
  void AddName(std::string_view name);

  std::string text_;
};

/// Writes one line to \p descriptor at once, bypassing any `event_log`, or
/// drops it if that would block. For threads other than the log's; begins a new
/// line, since the log may have written a part of one.
void WriteDirectly(int descriptor, const log_line& line);

/// Buffers lines until the descriptor accepts them, and never blocks on it.
/// When its reader stops reading, lines are dropped and requests are not
/// delayed. Dropped lines are counted and reported in a line of their own.
class event_log {
 public:
  struct options {
    int descriptor = 1;
    /// Bytes buffered for a slow reader; bounded since hosts have little
    /// memory.
    size_t max_pending = 256UL << 10;
    /// Lines of class `kRequest` per second; about twice the requests per
    /// second that a host of the largest deployment serves.
    uint32_t max_request_lines = 400;
  };

  explicit event_log(const options& opts) : options_(opts) {}

  void Write(log_class kind, const log_line& line);
  /// Writes as much as the descriptor accepts without blocking.
  void Flush();
  bool HasPending() const { return pending_size_ > 0; }
  uint64_t dropped_count() const { return total_drops_; }
  uint64_t written_count() const { return written_; }

 private:
  struct entry {
    log_class kind = log_class::kRequest;
    std::string text;
  };

  /// Counts one line of class `kRequest`. Returns whether it is within the
  /// budget of the current second.
  bool TryTakeBudget();
  void Push(log_class kind, std::string text);
  /// Drops lines, the oldest of the least important class first, until \p size
  /// more bytes fit. Returns false if only lines more important than \p kind
  /// are left to drop.
  bool MakeRoom(size_t size, log_class kind);
  void ReportDropped();

  options options_;
  std::deque<entry> lines_;
  size_t pending_size_ = 0;
  /// Bytes of the first line that are already written to the descriptor.
  size_t front_offset_ = 0;
  /// Dropped lines not yet reported in a `log_lines_dropped` line.
  uint64_t unreported_drops_ = 0;
  uint64_t total_drops_ = 0;
  uint64_t written_ = 0;
  /// Lines of class `kRequest` since `budget_window_start_`.
  uint32_t window_request_lines_ = 0;
  std::chrono::steady_clock::time_point budget_window_start_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LOG_EVENT_LOG_H_
