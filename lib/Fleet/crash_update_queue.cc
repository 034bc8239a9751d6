#include "cuminswitch/Fleet/crash_update_queue.h"

#include <algorithm>

namespace cuminswitch {

/// Time between two heartbeats to a peer that carry the active crashes.
static constexpr duration kActiveResendInterval =
    std::chrono::milliseconds(1500);
/// Relayed reports are remembered for this time, and at most so many of them.
static constexpr duration kRelayedRetention = std::chrono::seconds(10);
static constexpr size_t kMaxRelayed = 512;
/// Reports of one request and upstream whose times differ by less are copies of
/// one report.
static constexpr duration kDuplicateWindow = std::chrono::seconds(1);

void crash_update_queue::Add(const own_quarantine& own) {
  std::vector<timed<crash_report>> crashes;
  for (const crash_report& item : own.update.crashes) {
    crashes.push_back({.report = item, .at = own.at});
  }
  crashes_.Add(crashes);
  std::vector<timed<completion_report>> completions;
  for (const completion_report& item : own.update.completions) {
    completions.push_back({.report = item, .at = own.at});
  }
  completions_.Add(completions);
  std::vector<timed<response_report>> responses;
  for (const response_report& item : own.update.responses) {
    responses.push_back({.report = item, .at = own.at});
  }
  responses_.Add(responses);
  active_ = own.active_crashes;
  active_at_ = own.at;
}

bool crash_update_queue::NoteRelayed(const hash128& request,
                                     uint64_t upstream,
                                     time_point at) {
  if (relayed_.size() >= kMaxRelayed) {
    const time_point newest =
        std::max_element(
            relayed_.begin(), relayed_.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; })
            ->second;
    std::erase_if(relayed_, [&](const auto& item) {
      return newest - item.second > kRelayedRetention;
    });
    if (relayed_.size() >= kMaxRelayed) {
      return false;
    }
  }
  const auto [known, is_new] = relayed_.try_emplace({request, upstream}, at);
  // Copies that came by different peers differ a little in their times.
  if (!is_new && at - known->second < kDuplicateWindow) {
    return false;
  }
  known->second = at;
  return true;
}

void crash_update_queue::Relay(time_point now,
                               const quarantine_update& received) {
  std::vector<timed<crash_report>> crashes;
  for (const crash_report& item : received.crashes) {
    if (NoteRelayed(item.request, item.upstream, now - item.age)) {
      crashes.push_back({.report = item, .at = now});
    }
  }
  crashes_.Add(crashes);
  std::vector<timed<completion_report>> completions;
  for (const completion_report& item : received.completions) {
    if (NoteRelayed(item.request, 0, now - item.age)) {
      completions.push_back({.report = item, .at = now});
    }
  }
  completions_.Add(completions);
  std::vector<timed<response_report>> responses;
  for (const response_report& item : received.responses) {
    if (NoteRelayed({}, item.upstream, now - item.age)) {
      responses.push_back({.report = item, .at = now});
    }
  }
  responses_.Add(responses);
}

quarantine_update crash_update_queue::TakeFor(time_point now,
                                              const endpoint& peer) {
  quarantine_update update;
  for (timed<crash_report>& item : crashes_.TakeFor(peer)) {
    item.report.age += now - item.at;
    update.crashes.push_back(item.report);
  }
  for (timed<completion_report>& item : completions_.TakeFor(peer)) {
    item.report.age += now - item.at;
    update.completions.push_back(item.report);
  }
  for (timed<response_report>& item : responses_.TakeFor(peer)) {
    item.report.age += now - item.at;
    update.responses.push_back(item.report);
  }
  if (active_.empty()) {
    active_sent_at_.clear();
    return update;
  }
  const auto [sent, is_first] = active_sent_at_.try_emplace(peer, now);
  if (is_first || now - sent->second >= kActiveResendInterval) {
    sent->second = now;
    for (crash_report item : active_) {
      item.age += now - active_at_;
      update.crashes.push_back(item);
    }
  }
  return update;
}

}  // namespace cuminswitch
