/// \file
/// Logs the changes of a list instead of the whole list.
#ifndef CUMINSWITCH_LOG_LIST_CHANGES_H_
#define CUMINSWITCH_LOG_LIST_CHANGES_H_

#include <chrono>
#include <cstddef>
#include <set>
#include <string>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class log_line;

/// Collects the changes of a list between two log lines.
///
/// If every change logged the whole list, the volume of the log would grow with
/// the square of the fleet's size. Here lines are bounded in size and in rate,
/// so that the volume per daemon does not grow with the fleet.
class list_changes {
 public:
  struct options {
    /// Whether an item that is added and removed between two lines is listed
    /// as both, or not at all.
    bool lists_transient = false;
  };

  /// Minimum time between two lines. Hosts start and stop in bursts, and one
  /// line for a burst is as useful as a hundred.
  static constexpr std::chrono::seconds kInterval{1};
  /// Maximum number of items listed in a line, of the added and of the removed
  /// ones each. The counts in the line include the others.
  static constexpr size_t kMaxListed = 16;

  list_changes() = default;
  explicit list_changes(const options& opts) : options_(opts) {}

  /// Records that \p item was added to the list.
  void Add(std::string item);
  /// Records that \p item was removed from the list.
  void Remove(std::string item);
  /// Moves the changes since the last line into \p line and returns true.
  /// Returns false and leaves \p line as it is when nothing changed or the last
  /// line is less than `kInterval` ago.
  bool DrainInto(time_point now, log_line& line);

 private:
  options options_;
  /// Items in the list now.
  size_t count_ = 0;
  /// Changes since the last line. An item is in both sets only if
  /// `lists_transient` is set.
  std::set<std::string> added_;
  std::set<std::string> removed_;
  time_point last_line_at_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LOG_LIST_CHANGES_H_
