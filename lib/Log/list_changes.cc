#include "cuminswitch/Log/list_changes.h"

#include <algorithm>
#include <iterator>
#include <span>
#include <string_view>
#include <utility>

#include "cuminswitch/Log/event_log.h"

namespace cuminswitch {

/// What sorted \p items has and sorted \p others lacks.
static std::vector<std::string> ListMissing(
    std::span<const std::string> items,
    std::span<const std::string> others) {
  std::vector<std::string> missing;
  std::set_difference(items.begin(), items.end(), others.begin(), others.end(),
                      std::back_inserter(missing));
  return missing;
}

static std::string JoinFirst(std::span<const std::string> items) {
  std::string text;
  const size_t count = std::min(items.size(), list_changes::kMaxNamed);
  for (const std::string& item : items.first(count)) {
    text += (text.empty() ? "" : " ") + item;
  }
  return text;
}

static void AddChanges(std::string_view name,
                       std::span<const std::string> items,
                       log_line& line) {
  line.Add(name, items.size());
  if (!items.empty()) {
    line.Add(std::string(name) + "_items", JoinFirst(items));
  }
}

void list_changes::Set(std::vector<std::string> items) {
  present_ = std::move(items);
  std::sort(present_.begin(), present_.end());
}

bool list_changes::IsDue(time_point now) const {
  return told_at_ == time_point() || now - told_at_ >= kInterval;
}

bool list_changes::TakeInto(time_point now, log_line& line) {
  if (!IsDue(now) || present_ == told_) {
    return false;
  }
  line.Add("count", present_.size());
  AddChanges("added", ListMissing(present_, told_), line);
  AddChanges("removed", ListMissing(told_, present_), line);
  told_ = present_;
  told_at_ = now;
  return true;
}

}  // namespace cuminswitch
