// Which peers a daemon sends heartbeats, urgent updates and items requests to.
#include <algorithm>
#include <tuple>
#include <utility>

#include "cuminswitch/Fleet/peer_table.h"
#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"
#include "peer_table_constants.h"

namespace cuminswitch {

/// An address with its weight, by which addresses are ordered.
using ranked_address = std::pair<uint64_t, endpoint>;

/// Returns \p address with its weight in the order that \p key determines.
static ranked_address Rank(uint64_t key, const endpoint& address) {
  return {RendezvousWeight(key, Hash64(address.address, address.port)),
          address};
}

std::vector<peer_table::peer*> peer_table::ListRingNeighbors(
    time_point now,
    ring_side side,
    bool is_of_own_domain,
    size_t count) {
  const uint64_t self = Hash64(options_.self_name);
  std::vector<std::pair<uint64_t, peer*>> ring;
  for (auto& [name, item] : peers_) {
    const bool is_own = item.record.failure_domain == options_.self_domain;
    if (is_own == is_of_own_domain && IsAlive(now, item) &&
        !item.suspected_at) {
      ring.emplace_back(side == ring_side::kWatched ? self - item.name_hash
                                                    : item.name_hash - self,
                        &item);
    }
  }
  count = std::min(ring.size(), count);
  std::partial_sort(ring.begin(),
                    ring.begin() + static_cast<std::ptrdiff_t>(count),
                    ring.end());
  std::vector<peer*> next;
  for (size_t i = 0; i < count; ++i) {
    next.push_back(ring[i].second);
  }
  return next;
}

void peer_table::ChooseWatchers(time_point now,
                                std::vector<endpoint>& targets) {
  if (!std::exchange(must_choose_watchers_, false)) {
    return;
  }
  std::set<endpoint> chosen;
  if (IsLarge()) {
    for (const auto& [is_own, count] :
         {std::pair(true, kOwnDomainWatchers),
          std::pair(false, kOtherDomainWatchers)}) {
      for (const peer* item :
           ListRingNeighbors(now, ring_side::kWatchers, is_own, count)) {
        chosen.insert(item->record.peer_address);
      }
    }
  }
  for (const endpoint& former : watchers_) {
    if (!chosen.contains(former)) {
      targets.push_back(former);
    }
  }
  watchers_ = std::move(chosen);
}

void peer_table::BeginRotation(time_point now) {
  std::erase_if(addresses_, [&](const auto& item) {
    const address_state& state = item.second;
    const bool is_alive = state.owner != nullptr && IsAlive(now, *state.owner);
    return !state.is_listed && !is_alive &&
           now - std::max(state.last_seen_at, state.advertised_at) >
               kForgetAfter;
  });
  const uint64_t key =
      CombineHash(Hash64(options_.self_address.ToString()), ++rotation_number_);
  std::vector<ranked_address> order;
  order.reserve(addresses_.size());
  for (const auto& [address, state] : addresses_) {
    order.push_back(Rank(key, address));
  }
  // Each daemon has an order of its own, so that heartbeats of all daemons do
  // not reach one peer at the same moment, and updates spread in all
  // directions.
  std::sort(order.begin(), order.end());
  rotation_.clear();
  for (auto& [weight, address] : order) {
    rotation_.push_back(std::move(address));
  }
}

peer_table::address_map::value_type* peer_table::TakeNextInRotation(
    time_point now) {
  while (!rotation_.empty()) {
    const auto found = addresses_.find(rotation_.back());
    rotation_.pop_back();
    if (found == addresses_.end()) {
      continue;
    }
    if (found->second.first_known_at == time_point()) {
      found->second.first_known_at = now;
    }
    return &*found;
  }
  return nullptr;
}

std::vector<endpoint> peer_table::ChooseTargets(time_point now) {
  SuspectUnresponsive(now);
  std::vector<endpoint> chosen;
  ChooseWatchers(now, chosen);
  chosen.insert(chosen.end(), watchers_.begin(), watchers_.end());
  if (IsPartial()) {
    RefreshPartners(now);
    const size_t count =
        std::min(partners_.size(), member_updates_.IsEmpty()
                                       ? kPartnersPerRoundWhenIdle
                                       : kPartnersPerRoundWithUpdates);
    for (size_t i = 0; i < count; ++i) {
      const endpoint& address =
          partners_[next_partner_++ % partners_.size()].address;
      if (!watchers_.contains(address)) {
        chosen.push_back(address);
      }
    }
    return chosen;
  }
  const size_t others = chosen.size() + kHeartbeatsPerRound;
  if (!IsLarge() || rotation_.empty()) {
    BeginRotation(now);
  }
  while (chosen.size() < others) {
    address_map::value_type* item = TakeNextInRotation(now);
    if (item == nullptr) {
      break;
    }
    auto& [next, state] = *item;
    if (watchers_.contains(next)) {
      continue;
    }
    const bool is_unresponsive = now - state.last_seen_at > kUnresponsiveAfter;
    if (!is_unresponsive ||
        now - state.last_contacted_at >= kUnresponsiveInterval) {
      state.last_contacted_at = now;
      chosen.push_back(next);
    }
  }
  return chosen;
}

bool peer_table::CanBePartner(time_point now,
                              const address_state& state,
                              time_point added_at) const {
  if (state.owner != nullptr) {
    return IsAlive(now, *state.owner);
  }
  return now - added_at < kUnansweredPartnerTimeout;
}

void peer_table::RefreshPartners(time_point now) {
  std::erase_if(partners_, [&](const partner& item) {
    const auto found = addresses_.find(item.address);
    return found == addresses_.end() ||
           !CanBePartner(now, found->second, item.added_at);
  });
  if (now >= next_partner_change_ && partners_.size() == kHeartbeatsPerRound) {
    next_partner_change_ = now + kPartnerLifetime / kHeartbeatsPerRound;
    partners_.erase(partners_.begin());
  }
  if (partners_.size() < kHeartbeatsPerRound) {
    AddPartners(now);
  }
}

void peer_table::AddPartners(time_point now) {
  if (rotation_.empty()) {
    BeginRotation(now);
  }
  const size_t max_others = own_domain_alive_ >= kHeartbeatsPerRound
                                ? kOtherDomainPartners
                                : kHeartbeatsPerRound;
  auto others = static_cast<size_t>(std::count_if(
      partners_.begin(), partners_.end(),
      [](const partner& item) { return !item.is_of_own_domain; }));
  while (partners_.size() < kHeartbeatsPerRound) {
    address_map::value_type* candidate = TakeNextInRotation(now);
    if (candidate == nullptr) {
      break;
    }
    const endpoint& next = candidate->first;
    address_state& state = candidate->second;
    const bool is_known =
        std::any_of(partners_.begin(), partners_.end(),
                    [&](const partner& item) { return item.address == next; });
    const bool is_own =
        state.owner != nullptr &&
        state.owner->record.failure_domain == options_.self_domain;
    // A candidate that did not reply is considered again in a later rotation.
    const bool was_contacted =
        state.owner == nullptr && now - state.last_contacted_at < kForgetAfter;
    if (is_known || was_contacted || (!is_own && others >= max_others) ||
        !CanBePartner(now, state, now)) {
      continue;
    }
    state.last_contacted_at = now;
    others += is_own ? 0 : 1;
    partners_.push_back(
        {.address = next, .added_at = now, .is_of_own_domain = is_own});
  }
}

bool peer_table::TryReserveReply(time_point now, const endpoint& address) {
  address_state& state = addresses_[address];
  if (now - state.last_contacted_at < kReplyInterval) {
    return false;
  }
  state.last_contacted_at = now;
  return true;
}

std::vector<endpoint> peer_table::ListReachable(time_point now) const {
  if (IsPartial()) {
    std::vector<endpoint> reachable(watchers_.begin(), watchers_.end());
    for (const partner& item : partners_) {
      reachable.push_back(item.address);
    }
    return reachable;
  }
  std::vector<ranked_address> list;
  const uint64_t key =
      Hash64(options_.self_address.ToString(), rotation_number_);
  for (const auto& [address, state] : addresses_) {
    if (now - state.last_seen_at <= kUnresponsiveAfter) {
      list.push_back(Rank(key, address));
    }
  }
  std::sort(list.begin(), list.end());
  std::vector<endpoint> reachable;
  for (size_t i = 0; i < std::min(list.size(), kMaxReachable); ++i) {
    reachable.push_back(std::move(list[i].second));
  }
  return reachable;
}

const daemon_record* peer_table::FindAhead(time_point now,
                                           revision_number revision,
                                           uint64_t request_number,
                                           std::string_view last_resort) const {
  const uint64_t key = Hash64(options_.self_name, request_number);
  const auto rank = [&](const peer& item) {
    const bool is_own = item.record.failure_domain == options_.self_domain;
    const bool has_store = item.record.has_store;
    return std::tuple(item.record.name != last_resort,
                      IsPartial() ? is_own : has_store,
                      IsPartial() ? has_store : is_own,
                      RendezvousWeight(key, item.name_hash));
  };
  const peer* best = nullptr;
  for (const auto& [name, item] : peers_) {
    const bool is_ahead = IsAlive(now, item) && item.record.revision > revision;
    if (is_ahead && (best == nullptr || rank(item) > rank(*best))) {
      best = &item;
    }
  }
  return best == nullptr ? nullptr : &best->record;
}

}  // namespace cuminswitch
