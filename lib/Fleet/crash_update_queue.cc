#include "cuminswitch/Fleet/crash_update_queue.h"

#include <algorithm>

namespace cuminswitch {

/// Between two times at which a peer is told what stands.
static constexpr duration kStandingInterval = std::chrono::milliseconds(1500);
/// What is remembered of news that were told on: for so long, and so many.
static constexpr duration kRelayedTime = std::chrono::seconds(10);
static constexpr size_t kMostRelayed = 512;
/// Two news of one request and upstream that are closer are one.
static constexpr duration kSameTime = std::chrono::seconds(1);

void crash_update_queue::Add(const own_quarantine& own) {
  std::vector<dated<crash_report>> crashes;
  for (const crash_report& item : own.update.crashes) {
    crashes.push_back({.news = item, .at = own.at});
  }
  crashes_.Add(crashes);
  std::vector<dated<completion_report>> completions;
  for (const completion_report& item : own.update.completions) {
    completions.push_back({.news = item, .at = own.at});
  }
  completions_.Add(completions);
  standing_ = own.active_crashes;
  standing_at_ = own.at;
}

bool crash_update_queue::NoteRelayed(const hash128& request,
                                     uint64_t upstream,
                                     time_point at) {
  if (relayed_.size() >= kMostRelayed) {
    const time_point newest =
        std::max_element(
            relayed_.begin(), relayed_.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; })
            ->second;
    std::erase_if(relayed_, [&](const auto& item) {
      return newest - item.second > kRelayedTime;
    });
    if (relayed_.size() >= kMostRelayed) {
      return false;
    }
  }
  const auto [known, is_new] = relayed_.try_emplace({request, upstream}, at);
  // The same one is of much the same time, wherever it comes from.
  if (!is_new && at - known->second < kSameTime) {
    return false;
  }
  known->second = at;
  return true;
}

void crash_update_queue::Relay(time_point now, const quarantine_update& told) {
  std::vector<dated<crash_report>> crashes;
  for (const crash_report& item : told.crashes) {
    if (NoteRelayed(item.request, item.upstream, now - item.age)) {
      crashes.push_back({.news = item, .at = now});
    }
  }
  crashes_.Add(crashes);
  std::vector<dated<completion_report>> completions;
  for (const completion_report& item : told.completions) {
    if (NoteRelayed(item.request, 0, now - item.age)) {
      completions.push_back({.news = item, .at = now});
    }
  }
  completions_.Add(completions);
}

quarantine_update crash_update_queue::TakeFor(time_point now,
                                              const endpoint& peer) {
  quarantine_update news;
  for (dated<crash_report>& item : crashes_.TakeFor(peer)) {
    item.news.age += now - item.at;
    news.crashes.push_back(item.news);
  }
  for (dated<completion_report>& item : completions_.TakeFor(peer)) {
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
    for (crash_report item : standing_) {
      item.age += now - standing_at_;
      news.crashes.push_back(item);
    }
  }
  return news;
}

}  // namespace cuminswitch
