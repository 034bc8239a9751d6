#include "cuminswitch/Fleet/staleness_tracker.h"

#include <algorithm>

namespace cuminswitch {

/// Reply times of other daemons are dropped after this long.
static constexpr duration kReplyRetention = std::chrono::seconds(10);

void staleness_tracker::OnStoreReply(time_point at) {
  if (at > complete_at_) {
    complete_at_ = at;
    freshness_source_ = self_;
  }
}

void staleness_tracker::OnPeerReport(time_point now,
                                     const freshness_record& reported,
                                     bool is_behind) {
  if (reported.daemon_hash == 0 || reported.daemon_hash == self_) {
    return;
  }
  const time_point at = now - reported.age;
  time_point& known = last_reply_at_[reported.daemon_hash];
  known = std::max(known, at);
  std::erase_if(last_reply_at_, [&](const auto& item) {
    return now - item.second > kReplyRetention;
  });
  if (!is_behind && at > complete_at_) {
    complete_at_ = at;
    freshness_source_ = reported.daemon_hash;
  }
}

std::optional<freshness_record> staleness_tracker::MostRecent(
    time_point now) const {
  if (freshness_source_ == 0) {
    return std::nullopt;
  }
  return freshness_record{.daemon_hash = freshness_source_,
                          .age = Staleness(now)};
}

bool staleness_tracker::HasReachedStore(time_point now,
                                        uint64_t daemon_hash,
                                        duration span) const {
  const auto found = last_reply_at_.find(daemon_hash);
  return found != last_reply_at_.end() && now - found->second <= span;
}

}  // namespace cuminswitch
