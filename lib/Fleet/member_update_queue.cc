#include "cuminswitch/Fleet/member_update_queue.h"

namespace cuminswitch {

void member_update_queue::Add(const member_update& news) {
  const std::string& name = news.record.name;
  kept_news& kept = kept_[name];
  order_.erase({kept.tellings, name});
  kept = {.news = news};
  order_.emplace(0, name);
}

std::vector<member_update> member_update_queue::Take(size_t count) {
  std::vector<std::pair<size_t, std::string>> chosen;
  for (const auto& item : order_) {
    if (chosen.size() >= count) {
      break;
    }
    chosen.push_back(item);
  }
  std::vector<member_update> news;
  for (const auto& item : chosen) {
    const auto found = kept_.find(item.second);
    news.push_back(found->second.news);
    order_.erase(item);
    const member_update& told = found->second.news;
    const size_t most = told.is_suspected || told.record.is_leaving
                            ? kDepartureSendCount
                            : kSendCount;
    if (++found->second.tellings < most) {
      order_.emplace(found->second.tellings, item.second);
    } else {
      kept_.erase(found);
    }
  }
  return news;
}

}  // namespace cuminswitch
