// The event log with a reader that keeps up and with one that stops reading.
#include "cuminswitch/Log/event_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

namespace cuminswitch {
namespace {

class event_log_test : public testing::Test {
 protected:
  event_log_test() {
    EXPECT_EQ(pipe(ends_.data()), 0);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~event_log_test() override {
    close(ends_[0]);
    close(ends_[1]);
  }
  std::string ReadAll() {
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = read(ends_[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<size_t>(size));
    }
    return text;
  }

  std::array<int, 2> ends_{};
};

TEST_F(event_log_test, WritesALineAsJson) {
  event_log log({.descriptor = ends_[1]});
  log.Write(log_class::kRequest,
            log_line("request_ended")
                .Add("id", "a\"b\xff")
                .Add("status", 200)
                .Add("took_ms", std::chrono::milliseconds(7))
                .Add("kept", true));
  log.Flush();
  const auto line = nlohmann::json::parse(ReadAll());
  EXPECT_EQ(line.at("event"), "request_ended");
  EXPECT_EQ(line.at("status"), 200);
  EXPECT_EQ(line.at("took_ms"), 7);
  EXPECT_EQ(line.at("kept"), true);
}

// Symptom: requests stall because nobody reads the log.
// Sequence: the reader of standard output stops; the pipe fills up.
// Cause: a write blocks until the reader reads.
TEST_F(event_log_test, DropsRequestLinesFirstWhenThePipeIsFull) {
  event_log log({.descriptor = ends_[1],
                 .max_pending = 20'000,
                 .max_request_lines = 1'000'000});
  for (int i = 0; i < 5000; ++i) {
    log.Write(log_class::kRequest, log_line("routine").Add("number", i));
    log.Flush();
  }
  for (int i = 0; i < 100; ++i) {
    log.Write(log_class::kLifecycle, log_line("kept").Add("number", i));
  }
  EXPECT_GT(log.dropped_count(), 0U);
  std::string text;
  while (log.HasPending()) {
    log.Flush();
    text += ReadAll();
  }
  text += ReadAll();
  std::istringstream lines(text);
  int kept = 0;
  bool reported = false;
  for (std::string line; std::getline(lines, line);) {
    const auto event = nlohmann::json::parse(line).at("event");
    kept += event == "kept" ? 1 : 0;
    reported = reported || event == "log_lines_dropped";
  }
  EXPECT_EQ(kept, 100) << "lifecycle lines were dropped for request lines";
  EXPECT_TRUE(reported);
}

TEST_F(event_log_test, BoundsRequestLinesPerSecond) {
  event_log log({.descriptor = ends_[1], .max_request_lines = 10});
  for (int i = 0; i < 30; ++i) {
    log.Write(log_class::kRequest, log_line("routine"));
    log.Write(log_class::kStateChange, log_line("state_change"));
  }
  // A new second, with a new budget, may have begun in between.
  EXPECT_GE(log.dropped_count(), 10U);
  EXPECT_LE(log.dropped_count(), 20U);
}

}  // namespace
}  // namespace cuminswitch
