#include "cuminswitch/Fleet/member_update_queue.h"

namespace cuminswitch {

void member_update_queue::Add(const member_update& update) {
  const std::string& name = update.record.name;
  queued_update& queued = updates_[name];
  by_send_count_.erase({queued.send_count, name});
  queued = {.update = update};
  by_send_count_.emplace(0, name);
}

std::vector<member_update> member_update_queue::Take(size_t count) {
  std::vector<std::pair<size_t, std::string>> chosen;
  for (const auto& item : by_send_count_) {
    if (chosen.size() >= count) {
      break;
    }
    chosen.push_back(item);
  }
  std::vector<member_update> updates;
  for (const auto& item : chosen) {
    const auto found = updates_.find(item.second);
    updates.push_back(found->second.update);
    by_send_count_.erase(item);
    const member_update& update = found->second.update;
    const size_t max_sends = update.is_suspected || update.record.is_leaving
                                 ? kDepartureSendCount
                                 : kSendCount;
    if (++found->second.send_count < max_sends) {
      by_send_count_.emplace(found->second.send_count, item.second);
    } else {
      updates_.erase(found);
    }
  }
  return updates;
}

}  // namespace cuminswitch
