#include "store_fleet.h"

#include <algorithm>
#include <string>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

using std::chrono::milliseconds;

static constexpr milliseconds kStep{10};
static constexpr milliseconds kHeartbeatInterval{120};
static constexpr milliseconds kMessageDelay{10};
/// Pause between watches, which return immediately since upstreams renew their
/// items.
static constexpr milliseconds kWatchPause{100};
static constexpr milliseconds kCallTimeout{1600};
static constexpr milliseconds kMinRetryDelay{100};
static constexpr milliseconds kMaxRetryDelay{800};
/// As in the peer table: heartbeats per round, and the fleet size above which
/// heartbeats go to gossip partners only.
static constexpr size_t kHeartbeatsPerRound = 16;
static constexpr size_t kPartialFrom = 192;
static constexpr size_t kPartialHeartbeats = 4;

store_fleet::store_fleet(size_t daemons, size_t domains, fault kind)
    : daemons_(daemons), fault_(kind) {
  for (size_t i = 0; i < daemons; ++i) {
    alive_.push_back({.name = "d" + std::to_string(i),
                      .failure_domain = "x" + std::to_string(i % domains),
                      .link_rate = 10});
  }
  for (size_t i = 0; i < daemons; ++i) {
    daemon& self = daemons_[i];
    self.staleness = staleness_tracker(Hash64(alive_[i].name));
    self.policy.OnPeers(alive_[i], alive_);
    self.next_round =
        now_ + milliseconds(random_() % kHeartbeatInterval.count());
    self.rotation = random_();
  }
  Run(std::chrono::seconds(5));
}

void store_fleet::Run(duration span) {
  const time_point end = now_ + span;
  for (; now_ < end; now_ += kStep) {
    DeliverHeartbeats();
    for (size_t i = 0; i < daemons_.size(); ++i) {
      Step(i);
    }
  }
}

void store_fleet::SetStoreReachable(size_t number, bool reaches_store) {
  daemons_[number].reaches_store = reaches_store;
}

std::set<size_t> store_fleet::Followers() const {
  std::set<size_t> followers;
  for (size_t i = 0; i < daemons_.size(); ++i) {
    if (daemons_[i].follows) {
      followers.insert(i);
    }
  }
  return followers;
}

duration store_fleet::ConvergenceTime(duration max_time) {
  changed_at_ = now_;
  ++revision_;
  const auto is_behind = [this](const daemon& item) {
    return item.reaches_store && item.revision < revision_;
  };
  while (now_ - changed_at_ < max_time &&
         std::any_of(daemons_.begin(), daemons_.end(), is_behind)) {
    Run(kStep);
  }
  return now_ - changed_at_;
}

duration store_fleet::LatestBoundOnChange() const {
  time_point latest{};
  for (const daemon& item : daemons_) {
    if (item.revision == revision_) {
      latest = std::max(latest, item.changed_after);
    }
  }
  return latest - changed_at_;
}

void store_fleet::SetRevision(daemon& self, revision_number revision) {
  if (revision > self.revision) {
    self.revision = revision;
    self.changed_after = self.staleness.complete_at();
  }
}

void store_fleet::Step(size_t number) {
  daemon& self = daemons_[number];
  if ((self.follows || self.is_calling) && now_ >= self.next_call) {
    Call(self);
  }
  if (now_ >= self.next_round) {
    self.next_round += kHeartbeatInterval;
    SendHeartbeats(number);
    self.follows =
        self.policy.ShouldFollow(now_, {.self = alive_[number],
                                        .alive = alive_,
                                        .staleness = self.staleness,
                                        .last_reply_at = self.last_reply_at,
                                        .last_failure_at = self.last_failure_at,
                                        .known = daemons_.size()});
  }
}

void store_fleet::Call(daemon& self) {
  const bool is_unresponsive =
      fault_ == fault::kUnresponsive && !self.reaches_store;
  if (!self.is_calling && is_unresponsive) {
    ++calls_;
    self.is_calling = true;
    self.next_call = now_ + kCallTimeout;
    return;
  }
  calls_ += self.is_calling ? 0 : 1;
  if (self.reaches_store && !self.is_calling) {
    SetRevision(self, revision_);
    self.last_reply_at = now_;
    self.staleness.OnStoreReply(now_);
    self.retry_delay = duration(0);
    self.next_call = now_ + kWatchPause;
    return;
  }
  self.is_calling = false;
  self.last_failure_at = now_;
  self.retry_delay = std::clamp<duration>(self.retry_delay * 2, kMinRetryDelay,
                                          kMaxRetryDelay);
  self.next_call = now_ + self.retry_delay;
}

void store_fleet::SendHeartbeats(size_t number) {
  daemon& self = daemons_[number];
  const bool is_partial = daemons_.size() > kPartialFrom;
  const size_t heartbeats =
      std::min(daemons_.size() - 1,
               is_partial ? kPartialHeartbeats : kHeartbeatsPerRound);
  for (size_t i = 0; i < heartbeats; ++i) {
    const size_t to = is_partial ? random_() % daemons_.size()
                                 : self.rotation++ % daemons_.size();
    daemon& peer = daemons_[to];
    if (to == number || self.is_partitioned || peer.is_partitioned) {
      continue;
    }
    in_transit_.push_back({.arrives_at = now_ + kMessageDelay,
                           .to = to,
                           .freshness = self.staleness.MostRecent(now_),
                           .revision = self.revision});
  }
}

void store_fleet::DeliverHeartbeats() {
  while (!in_transit_.empty() && in_transit_.front().arrives_at <= now_) {
    const heartbeat& message = in_transit_.front();
    daemon& to = daemons_[message.to];
    if (message.freshness) {
      to.staleness.OnPeerReport(now_, *message.freshness,
                                message.revision > to.revision);
    }
    // The receiver requests the items, and gets the reply well before the next
    // round.
    SetRevision(to, message.revision);
    in_transit_.pop_front();
  }
}

}  // namespace cuminswitch
