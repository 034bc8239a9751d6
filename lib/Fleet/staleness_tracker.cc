#include "cuminswitch/Fleet/staleness_tracker.h"

#include <algorithm>

namespace cuminswitch {

/// Reply times of other daemons are dropped after this long.
static constexpr duration kReplyRetention = std::chrono::seconds(10);

void staleness_tracker::OnStoreReply(time_point at) {
  if (at > complete_at_) {
    complete_at_ = at;
    freshness_source_ = self_;
    freshness_reply_ = static_cast<uint64_t>(at.time_since_epoch().count());
  }
}

time_point staleness_tracker::UpdateReply(time_point at,
                                          const freshness_record& reported) {
  known_reply& known = last_replies_[reported.daemon_hash];
  if (reported.reply == 0) {
    known.at = std::max(known.at, at);
    return at;
  }
  if (reported.reply > known.number) {
    known = {.number = reported.reply, .at = at};
  } else if (reported.reply == known.number) {
    known.at = std::min(known.at, at);
  }
  return std::min(known.at, at);
}

time_point staleness_tracker::OnPeerReport(time_point now,
                                           const freshness_record& reported,
                                           bool is_behind) {
  if (reported.daemon_hash == 0 || reported.daemon_hash == self_ ||
      reported.age > kReplyRetention) {
    return {};
  }
  const time_point at = UpdateReply(now - reported.age, reported);
  std::erase_if(last_replies_, [&](const auto& item) {
    return now - item.second.at > kReplyRetention;
  });
  if (!is_behind && at > complete_at_) {
    complete_at_ = at;
    freshness_source_ = reported.daemon_hash;
    freshness_reply_ = reported.reply;
  }
  return at;
}

std::optional<freshness_record> staleness_tracker::MostRecent(
    time_point now) const {
  if (freshness_source_ == 0) {
    return std::nullopt;
  }
  return freshness_record{.daemon_hash = freshness_source_,
                          .reply = freshness_reply_,
                          .age = Staleness(now)};
}

bool staleness_tracker::HasReachedStore(time_point now,
                                        uint64_t daemon_hash,
                                        duration span) const {
  const auto found = last_replies_.find(daemon_hash);
  return found != last_replies_.end() && now - found->second.at <= span;
}

}  // namespace cuminswitch
