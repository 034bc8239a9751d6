#include "cuminswitch/Log/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace cuminswitch {

/// Bytes that a pipe accepts without blocking when it polls as writable
/// (PIPE_BUF on Linux).
static constexpr size_t kMaxAtomicWrite = 4096;

static int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns \p text as a JSON string, with invalid UTF-8 replaced.
static std::string Quote(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

log_line::log_line(std::string_view event)
    : text_("{\"time_ms\":" + std::to_string(UnixMillis()) +
            ",\"event\":" + Quote(event)) {}

void log_line::AddName(std::string_view name) {
  text_.append(",\"").append(name).append("\":");
}

log_line& log_line::Add(std::string_view name, std::string_view value) {
  AddName(name);
  text_ += Quote(value);
  return *this;
}

log_line& log_line::Add(std::string_view name, int64_t value) {
  AddName(name);
  text_ += std::to_string(value);
  return *this;
}

log_line& log_line::Add(std::string_view name, uint64_t value) {
  AddName(name);
  text_ += std::to_string(value);
  return *this;
}

log_line& log_line::Add(std::string_view name, bool value) {
  AddName(name);
  text_ += value ? "true" : "false";
  return *this;
}

log_line& log_line::Add(std::string_view name, double value) {
  AddName(name);
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3g", value);
  text_ += text.data();
  return *this;
}

log_line& log_line::Add(std::string_view name,
                        std::chrono::microseconds value) {
  constexpr int64_t kMicrosPerMilli = 1000;
  return Add(name, int64_t{value.count() / kMicrosPerMilli});
}

/// Whether \p descriptor accepts `kMaxAtomicWrite` bytes without blocking.
static bool IsWritable(int descriptor) {
  pollfd state{.fd = descriptor, .events = POLLOUT, .revents = 0};
  return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

void WriteDirectly(int descriptor, const log_line& line) {
  const std::string text = "\n" + line.text() + "}\n";
  if (text.size() <= kMaxAtomicWrite && IsWritable(descriptor)) {
    // A failure cannot be reported: this is where it would be.
    static_cast<void>(write(descriptor, text.data(), text.size()) < 0);
  }
}

bool event_log::TryTakeBudget() {
  const auto now = std::chrono::steady_clock::now();
  if (now - budget_window_start_ >= std::chrono::seconds(1)) {
    budget_window_start_ = now;
    window_request_lines_ = 0;
  }
  return ++window_request_lines_ <= options_.max_request_lines;
}

bool event_log::MakeRoom(size_t size, log_class kind) {
  while (pending_size_ + size > options_.max_pending) {
    // The first line must stay if part of it is already written.
    const auto begin = lines_.begin() + (front_offset_ > 0 ? 1 : 0);
    const auto victim = std::min_element(
        begin, lines_.end(),
        [](const auto& a, const auto& b) { return a.kind < b.kind; });
    if (victim == lines_.end() || victim->kind > kind) {
      return false;
    }
    pending_size_ -= victim->text.size();
    lines_.erase(victim);
    ++unreported_drops_;
    ++total_drops_;
  }
  return true;
}

void event_log::Push(log_class kind, std::string text) {
  pending_size_ += text.size();
  lines_.push_back({.kind = kind, .text = std::move(text)});
}

void event_log::ReportDropped() {
  if (unreported_drops_ == 0) {
    return;
  }
  log_line line("log_lines_dropped");
  line.Add("count", std::exchange(unreported_drops_, 0));
  Push(log_class::kLifecycle, line.text() + "}\n");
}

void event_log::Write(log_class kind, const log_line& line) {
  std::string text = line.text() + "}\n";
  const bool has_budget = kind != log_class::kRequest || TryTakeBudget();
  if (!has_budget || !MakeRoom(text.size(), kind)) {
    ++unreported_drops_;
    ++total_drops_;
    return;
  }
  ReportDropped();
  Push(kind, std::move(text));
  if (pending_size_ >= kMaxAtomicWrite) {
    Flush();
  }
}

void event_log::Flush() {
  while (!lines_.empty()) {
    if (!IsWritable(options_.descriptor)) {
      return;
    }
    std::string batch;
    while (!lines_.empty() && batch.size() < kMaxAtomicWrite) {
      const std::string& text = lines_.front().text;
      const std::string_view rest =
          std::string_view(text).substr(front_offset_);
      const size_t part = std::min(rest.size(), kMaxAtomicWrite - batch.size());
      batch.append(rest.substr(0, part));
      front_offset_ += part;
      if (front_offset_ == text.size()) {
        pending_size_ -= text.size();
        lines_.pop_front();
        front_offset_ = 0;
        ++written_;
      }
    }
    if (write(options_.descriptor, batch.data(), batch.size()) < 0) {
      // The descriptor is broken, so that this cannot be reported in the log.
      // The batch is lost; it counts as one dropped line.
      ++total_drops_;
      return;
    }
  }
}

}  // namespace cuminswitch
