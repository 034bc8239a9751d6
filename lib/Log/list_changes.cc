#include "cuminswitch/Log/list_changes.h"

#include <string_view>
#include <utility>

#include "cuminswitch/Log/event_log.h"

namespace cuminswitch {

static std::string JoinFirst(const std::set<std::string>& items) {
  std::string text;
  size_t count = 0;
  for (const std::string& item : items) {
    if (++count > list_changes::kMaxListed) {
      break;
    }
    text += (text.empty() ? "" : " ") + item;
  }
  return text;
}

static void AddChanges(std::string_view name,
                       const std::set<std::string>& items,
                       log_line& line) {
  line.Add(name, items.size());
  if (!items.empty()) {
    line.Add(std::string(name) + "_items", JoinFirst(items));
  }
}

void list_changes::Add(std::string item) {
  ++count_;
  if (options_.lists_transient || removed_.erase(item) == 0) {
    added_.insert(std::move(item));
  }
}

void list_changes::Remove(std::string item) {
  --count_;
  if (options_.lists_transient || added_.erase(item) == 0) {
    removed_.insert(std::move(item));
  }
}

bool list_changes::DrainInto(time_point now, log_line& line) {
  const bool is_due =
      last_line_at_ == time_point() || now - last_line_at_ >= kInterval;
  if (!is_due || (added_.empty() && removed_.empty())) {
    return false;
  }
  line.Add("count", count_);
  AddChanges("added", added_, line);
  AddChanges("removed", removed_, line);
  added_.clear();
  removed_.clear();
  last_line_at_ = now;
  return true;
}

}  // namespace cuminswitch
