/// \file
/// Tells a log what changed in a list, and not the list.
#ifndef CUMINSWITCH_LOG_LIST_CHANGES_H_
#define CUMINSWITCH_LOG_LIST_CHANGES_H_

#include <chrono>
#include <cstddef>
#include <set>
#include <string>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class log_line;

/// Collects changes of a list between two lines of a log.
///
/// A line that holds the whole list at each of its changes grows with the
/// square of the fleet. Here lines are bounded in size and in number, so that
/// what a daemon writes stays flat as the fleet grows.
class list_changes {
 public:
  /// Least time between two lines. Starts and stops come in waves, of which one
  /// line tells as much as a hundred.
  static constexpr std::chrono::seconds kInterval{1};
  /// Items named in a line, of those that came and of those that went each; all
  /// of them are counted.
  static constexpr size_t kMaxNamed = 16;

  /// \p item is in the list from now on.
  void Add(std::string item);
  /// \p item is in the list no longer.
  void Remove(std::string item);
  /// Adds what changed since the last line to \p line. Returns whether a line
  /// is due: something changed, and the last one is long enough ago.
  bool TakeInto(time_point now, log_line& line);

 private:
  size_t count_ = 0;
  /// Since the last line; nothing is in both.
  std::set<std::string> added_;
  std::set<std::string> removed_;
  time_point told_at_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LOG_LIST_CHANGES_H_
