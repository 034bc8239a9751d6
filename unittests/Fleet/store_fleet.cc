#include "store_fleet.h"

#include <algorithm>
#include <string>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

using std::chrono::milliseconds;

static constexpr milliseconds kStep{10};
static constexpr milliseconds kRound{120};
/// Upstreams renew their items, so that a watch has something to tell.
static constexpr milliseconds kWatchPause{100};
static constexpr milliseconds kSilence{1600};
static constexpr milliseconds kFirstRetry{100};
static constexpr milliseconds kLongestRetry{800};
/// As in the roster: a round's beats, and where only partners are beaten.
static constexpr size_t kBeatsPerRound = 16;
static constexpr size_t kPartialFrom = 192;
static constexpr size_t kPartialBeats = 4;

store_fleet::store_fleet(size_t daemons, size_t domains, fault kind)
    : daemons_(daemons), fault_(kind) {
  for (size_t i = 0; i < daemons; ++i) {
    living_.push_back({.name = "d" + std::to_string(i),
                       .failure_domain = "x" + std::to_string(i % domains),
                       .link_rate = 10});
  }
  for (size_t i = 0; i < daemons; ++i) {
    daemon& self = daemons_[i];
    self.staleness = staleness_tracker(Hash64(living_[i].name));
    self.duty.OnPeers(living_[i], living_);
    self.next_round = now_ + milliseconds(random_() % kRound.count());
    self.turn = random_();
  }
  Run(std::chrono::seconds(5));
}

void store_fleet::Run(duration span) {
  const time_point end = now_ + span;
  for (; now_ < end; now_ += kStep) {
    for (size_t i = 0; i < daemons_.size(); ++i) {
      Step(i);
    }
  }
}

void store_fleet::SetReached(size_t number, bool is_reached) {
  daemons_[number].is_reached = is_reached;
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

duration store_fleet::TimeToLearn(duration most) {
  const time_point changed_at = now_;
  ++revision_;
  const auto is_behind = [this](const daemon& item) {
    return item.is_reached && item.revision < revision_;
  };
  while (now_ - changed_at < most &&
         std::any_of(daemons_.begin(), daemons_.end(), is_behind)) {
    Run(kStep);
  }
  return now_ - changed_at;
}

void store_fleet::Step(size_t number) {
  daemon& self = daemons_[number];
  if ((self.follows || self.is_calling) && now_ >= self.next_call) {
    Call(self);
  }
  if (now_ >= self.next_round) {
    self.next_round += kRound;
    Beat(number);
    self.follows =
        self.duty.ShouldFollow(now_, {.self = living_[number],
                                      .alive = living_,
                                      .staleness = self.staleness,
                                      .answered_at = self.answered_at,
                                      .failed_at = self.failed_at,
                                      .known = daemons_.size()});
  }
}

void store_fleet::Call(daemon& self) {
  const bool is_silent = fault_ == fault::kSilent && !self.is_reached;
  if (!self.is_calling && is_silent) {
    ++calls_;
    self.is_calling = true;
    self.next_call = now_ + kSilence;
    return;
  }
  calls_ += self.is_calling ? 0 : 1;
  if (self.is_reached && !self.is_calling) {
    self.revision = revision_;
    self.answered_at = now_;
    self.staleness.OnStoreAnswer(now_);
    self.pause = duration(0);
    self.next_call = now_ + kWatchPause;
    return;
  }
  self.is_calling = false;
  self.failed_at = now_;
  self.pause = std::clamp<duration>(self.pause * 2, kFirstRetry, kLongestRetry);
  self.next_call = now_ + self.pause;
}

void store_fleet::Beat(size_t number) {
  daemon& self = daemons_[number];
  const bool is_partial = daemons_.size() > kPartialFrom;
  const size_t beats = std::min(daemons_.size() - 1,
                                is_partial ? kPartialBeats : kBeatsPerRound);
  for (size_t i = 0; i < beats; ++i) {
    const size_t to = is_partial ? random_() % daemons_.size()
                                 : self.turn++ % daemons_.size();
    daemon& peer = daemons_[to];
    if (to == number || self.is_cut_off || peer.is_cut_off) {
      continue;
    }
    if (const auto evidence = self.staleness.MostRecent(now_)) {
      peer.staleness.OnPeer(now_, *evidence, self.revision > peer.revision);
    }
    // It asks, and is answered long before the next round.
    peer.revision = std::max(peer.revision, self.revision);
  }
}

}  // namespace cuminswitch
