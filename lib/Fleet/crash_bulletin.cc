#include "cuminswitch/Fleet/crash_bulletin.h"

namespace cuminswitch {

/// Between two times at which a peer is told what stands.
static constexpr duration kStandingInterval = std::chrono::milliseconds(1500);

void crash_bulletin::Add(const own_quarantine& own) {
  std::vector<dated<crash_news>> crashes;
  for (const crash_news& item : own.news.crashes) {
    crashes.push_back({.news = item, .at = own.at});
  }
  crashes_.Add(crashes);
  std::vector<dated<completion_news>> completions;
  for (const completion_news& item : own.news.completions) {
    completions.push_back({.news = item, .at = own.at});
  }
  completions_.Add(completions);
  standing_ = own.standing;
  standing_at_ = own.at;
}

quarantine_news crash_bulletin::TakeFor(time_point now, const endpoint& peer) {
  quarantine_news news;
  for (dated<crash_news>& item : crashes_.TakeFor(peer)) {
    item.news.age += now - item.at;
    news.crashes.push_back(item.news);
  }
  for (dated<completion_news>& item : completions_.TakeFor(peer)) {
    item.news.age += now - item.at;
    news.completions.push_back(item.news);
  }
  if (standing_.empty()) {
    told_standing_.clear();
    return news;
  }
  const auto [told, is_first] = told_standing_.try_emplace(peer, now);
  if (is_first || now - told->second >= kStandingInterval) {
    told->second = now;
    for (crash_news item : standing_) {
      item.age += now - standing_at_;
      news.crashes.push_back(item);
    }
  }
  return news;
}

}  // namespace cuminswitch
