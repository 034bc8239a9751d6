#include "cuminswitch/Fleet/peer_roster.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// Beats sent in one round, so that a daemon's cost stays flat as the fleet
/// grows; a larger fleet is gone through in turn.
static constexpr size_t kBeatsPerRound = 16;
/// A peer that was not heard for so long is tried rarely.
static constexpr duration kSilentAfter = std::chrono::seconds(2);
static constexpr duration kSilentInterval = std::chrono::seconds(1);
/// Between two beats to one peer out of turn. All of a fleet that starts at
/// once beat the same few seeds.
static constexpr duration kAnswerInterval = std::chrono::milliseconds(300);
/// An address that only others named is forgotten after so long in silence.
static constexpr duration kForgetAfter = std::chrono::seconds(10);

/// A daemon that was silent for longer is taken for gone for good: one that is
/// killed is back within seconds, and a cut between hosts that lasts longer is
/// an outage that operators know of.
static constexpr duration kMaybeAtWorkTime = std::chrono::seconds(60);

peer_roster::peer_roster(options opts) : options_(std::move(opts)) {
  for (const endpoint& seed : options_.seeds) {
    if (seed != options_.self_address) {
      addresses_[seed].is_listed = true;
    }
  }
}

void peer_roster::SetListed(std::span<const daemon_entry> daemons) {
  for (auto& [address, state] : addresses_) {
    state.is_listed = std::find(options_.seeds.begin(), options_.seeds.end(),
                                address) != options_.seeds.end();
  }
  for (const daemon_entry& item : daemons) {
    if (item.name != options_.self_name) {
      addresses_[item.peer_address].is_listed = true;
    }
  }
}

bool peer_roster::OnBeat(time_point now, const beat_frame& beat) {
  const daemon_record& sender = beat.sender;
  if (sender.name == options_.self_name) {
    return false;
  }
  for (const endpoint& address : beat.heard) {
    if (address != options_.self_address) {
      addresses_[address].named_at = now;
    }
  }
  addresses_[sender.peer_address].heard_at = now;
  peer& known = peers_[sender.name];
  if (sender.incarnation < known.record.incarnation) {
    return false;
  }
  const bool is_news = !IsLiving(now, known) ||
                       known.record.incarnation != sender.incarnation ||
                       known.record.is_ready != sender.is_ready ||
                       known.record.is_leaving != sender.is_leaving;
  known.record = sender;
  known.heard_at = now;
  has_news_ = has_news_ || is_news;
  return is_news;
}

std::vector<endpoint> peer_roster::ChooseTargets(time_point now) {
  std::erase_if(addresses_, [&](const auto& item) {
    const address_state& state = item.second;
    return !state.is_listed &&
           now - std::max(state.heard_at, state.named_at) > kForgetAfter;
  });
  std::vector<endpoint> due;
  for (auto& [address, state] : addresses_) {
    if (state.known_at == time_point()) {
      state.known_at = now;
    }
    const bool is_silent = now - state.heard_at > kSilentAfter;
    if (!is_silent || now - state.tried_at >= kSilentInterval) {
      due.push_back(address);
    }
  }
  std::vector<endpoint> chosen;
  const size_t count = std::min(due.size(), kBeatsPerRound);
  for (size_t i = 0; i < count; ++i) {
    chosen.push_back(due[(next_target_ + i) % due.size()]);
    addresses_[chosen.back()].tried_at = now;
  }
  next_target_ += count;
  return chosen;
}

bool peer_roster::TakeAnswerTurn(time_point now, const endpoint& address) {
  address_state& state = addresses_[address];
  if (now - state.tried_at < kAnswerInterval) {
    return false;
  }
  state.tried_at = now;
  return true;
}

std::vector<endpoint> peer_roster::ListReachable(time_point now) const {
  std::vector<endpoint> list;
  for (const auto& [address, state] : addresses_) {
    if (now - state.heard_at <= kSilentAfter) {
      list.push_back(address);
    }
  }
  return list;
}

duration peer_roster::Horizon() const {
  const size_t rounds = std::max<size_t>(
      1, (addresses_.size() + kBeatsPerRound - 1) / kBeatsPerRound);
  return kLivingTime + kBeatInterval * (rounds - 1) * 3;
}

bool peer_roster::IsLiving(time_point now, const peer& item) const {
  return item.heard_at != time_point() && now - item.heard_at <= Horizon();
}

std::vector<daemon_record> peer_roster::ListLiving(time_point now) const {
  std::vector<daemon_record> list;
  for (const auto& [name, item] : peers_) {
    if (IsLiving(now, item)) {
      list.push_back(item.record);
    }
  }
  return list;
}

bool peer_roster::TakeNews(time_point now) {
  for (auto& [name, item] : peers_) {
    const bool is_living = IsLiving(now, item);
    has_news_ = has_news_ || is_living != item.was_living;
    item.was_living = is_living;
  }
  return std::exchange(has_news_, false);
}

std::vector<endpoint> peer_roster::NameLiving(time_point now, size_t count) {
  std::vector<endpoint> named;
  auto next = peers_.upper_bound(last_named_);
  for (size_t i = 0; i < peers_.size() && named.size() < count; ++i) {
    if (next == peers_.end()) {
      next = peers_.begin();
    }
    if (IsLiving(now, next->second)) {
      named.push_back(next->second.record.peer_address);
      last_named_ = next->first;
    }
    ++next;
  }
  return named;
}

const daemon_record* peer_roster::FindAhead(time_point now,
                                            revision_number revision,
                                            uint64_t turn) const {
  const uint64_t key = Hash64(options_.self_name, turn);
  const auto rank = [&](const daemon_record& record) {
    return std::tuple(record.has_store,
                      record.failure_domain == options_.self_domain,
                      RendezvousWeight(key, Hash64(record.name)));
  };
  const daemon_record* best = nullptr;
  for (const auto& [name, item] : peers_) {
    const bool is_ahead =
        IsLiving(now, item) && item.record.revision > revision;
    if (is_ahead && (best == nullptr || rank(item.record) > rank(*best))) {
      best = &item.record;
    }
  }
  return best;
}

size_t peer_roster::CountMaybeAtWork(time_point now) const {
  return 1 + std::count_if(
                 addresses_.begin(), addresses_.end(), [&](const auto& item) {
                   const address_state& state = item.second;
                   return now - std::max(state.heard_at, state.known_at) <=
                          kMaybeAtWorkTime;
                 });
}

size_t peer_roster::CountKnown() const {
  return 1 + std::max(peers_.size(), addresses_.size());
}

}  // namespace cuminswitch
