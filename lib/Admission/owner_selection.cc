#include "cuminswitch/Admission/owner_selection.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

static uint64_t HashOf(const endpoint& address) {
  return Hash64(address.ToString());
}

owner_selection::owner_selection(const endpoint& self)
    : self_({.address = self, .hash = HashOf(self)}), candidates_({self_}) {}

void owner_selection::SetFleet(time_point now, const quota_fleet_view& fleet) {
  std::vector<candidate> next;
  // A daemon that shuts down serves requests for some more seconds. If it took
  // itself for an owner, it would grant each limit a second time, beside the
  // owner that all others query.
  const bool is_candidate = !fleet.is_leaving || fleet.alive.empty();
  if (is_candidate) {
    next.push_back(self_);
  }
  for (const endpoint& address : fleet.alive) {
    if (address != self_.address) {
      next.push_back({.address = address, .hash = HashOf(address)});
    }
  }
  RecordFailed(now, next, fleet.leaving);
  candidates_ = std::move(next);
  const size_t alive_count =
      candidates_.size() + fleet.leaving.size() + (is_candidate ? 0 : 1);
  daemon_count_ = std::max(fleet.possibly_active, alive_count);
  convergence_time_ = fleet.convergence_time;
  started_at_ = started_at_.value_or(now);
  alive_shares_.push_back({.from = now,
                           .share = static_cast<double>(alive_count) /
                                    static_cast<double>(daemon_count_)});
  // Keeps the share that was current at the beginning of the convergence time.
  while (alive_shares_.size() > 1 &&
         alive_shares_[1].from <= now - convergence_time_) {
    alive_shares_.erase(alive_shares_.begin());
  }
  std::erase_if(skipped_until_,
                [now](const auto& item) { return now >= item.second; });
}

void owner_selection::RecordFailed(time_point now,
                                   std::span<const candidate> next,
                                   std::span<const endpoint> leaving) {
  // A daemon that shuts down gives up what it owns before it says so.
  std::unordered_set<uint64_t> alive;
  for (const endpoint& address : leaving) {
    alive.insert(HashOf(address));
  }
  for (const candidate& item : next) {
    alive.insert(item.hash);
  }
  std::erase_if(recently_failed_, [&](const failed_daemon& item) {
    return now - item.at > convergence_time_ ||
           alive.contains(item.daemon.hash);
  });
  for (const candidate& item : candidates_) {
    if (!alive.contains(item.hash)) {
      recently_failed_.push_back({.daemon = item, .at = now});
    }
  }
}

void owner_selection::SkipUntil(const endpoint& address, time_point until) {
  skipped_until_[address] = until;
}

bool owner_selection::IsSkipped(time_point now, const endpoint& address) const {
  const auto found = skipped_until_.find(address);
  return found != skipped_until_.end() && now < found->second;
}

const endpoint& owner_selection::FindOwner(time_point now,
                                           uint64_t subject) const {
  const candidate* best = nullptr;
  uint64_t best_weight = 0;
  for (const candidate& item : candidates_) {
    const uint64_t weight = RendezvousWeight(subject, item.hash);
    const bool is_better = best == nullptr || weight > best_weight;
    if (is_better && !IsSkipped(now, item.address)) {
      best = &item;
      best_weight = weight;
    }
  }
  return best == nullptr ? self_.address : best->address;
}

bool owner_selection::HasTakenOver(time_point now, uint64_t subject) const {
  const uint64_t own_weight = RendezvousWeight(subject, self_.hash);
  return std::any_of(recently_failed_.begin(), recently_failed_.end(),
                     [&](const failed_daemon& item) {
                       return now - item.at <= convergence_time_ &&
                              RendezvousWeight(subject, item.daemon.hash) >
                                  own_weight;
                     });
}

bool owner_selection::IsPreceded(uint64_t subject) const {
  const uint64_t own_weight = RendezvousWeight(subject, self_.hash);
  return std::any_of(candidates_.begin(), candidates_.end(),
                     [&](const candidate& item) {
                       return RendezvousWeight(subject, item.hash) > own_weight;
                     });
}

bool owner_selection::HasStartedWithin(time_point now, duration time) const {
  return started_at_ && now - *started_at_ < time;
}

double owner_selection::MinAliveShare(time_point now) const {
  if (alive_shares_.empty() || daemon_count_ == 1) {
    return 1;
  }
  if (now - *started_at_ < convergence_time_) {
    return alive_shares_.back().share;
  }
  // Shares from the warm-up time are too small: not all daemons had been found.
  const time_point since =
      std::max(now - convergence_time_, *started_at_ + kWarmUpTime);
  double smallest = alive_shares_.back().share;
  for (size_t i = 0; i + 1 < alive_shares_.size(); ++i) {
    if (alive_shares_[i + 1].from > since) {
      smallest = std::min(smallest, alive_shares_[i].share);
    }
  }
  return smallest;
}

}  // namespace cuminswitch
