#include "cuminswitch/Fleet/lapsed_upstreams.h"

#include <algorithm>

#include "cuminswitch/Fleet/peer_roster.h"
#include "cuminswitch/Support/hash.h"
#include "store_constants.h"

namespace cuminswitch {

/// Entries of upstreams that live are back about two seconds after the store's
/// return; one that is still missing then is gone.
static constexpr duration kLapsedTime = std::chrono::milliseconds(2300);
/// Beats that tell of a return have all come by then.
static constexpr duration kForgetReturn = std::chrono::seconds(30);

void lapsed_upstreams::OnPeer(time_point now,
                              const store_contact& contact,
                              const daemon_record& peer) {
  const awaited_entries& told = peer.awaits;
  if (told.event != 0 && told.event != OwnEvent(contact)) {
    const time_point until = now + std::min(told.left, kLapsedTime);
    const auto [found, is_new] = told_.try_emplace(told.event, until);
    // Each message adds its delay, so the earliest time is the truest.
    found->second = std::min(found->second, until);
    std::erase_if(told_, [&](const auto& item) {
      return now - item.second > kForgetReturn;
    });
  }
  if (!contact.is_lost) {
    return;
  }
  // At first a peer may not have noticed yet.
  if (now - contact.lost_at < kStoreFresh + 2 * peer_roster::kBeatInterval) {
    store_served_others_ = false;
  } else if (peer.has_store) {
    store_served_others_ = true;
  }
}

bool lapsed_upstreams::SawAllLoseIt(const store_contact& contact) const {
  return contact.is_following && !contact.is_lost && !store_served_others_ &&
         contact.regained_at != time_point();
}

uint64_t lapsed_upstreams::OwnEvent(const store_contact& contact) const {
  return CombineHash(
      self_,
      static_cast<uint64_t>(contact.regained_at.time_since_epoch().count()));
}

awaited_entries lapsed_upstreams::Awaits(time_point now,
                                         const store_contact& contact) const {
  awaited_entries longest;
  if (SawAllLoseIt(contact) && contact.regained_at + kLapsedTime > now) {
    longest = {.event = OwnEvent(contact),
               .left = contact.regained_at + kLapsedTime - now};
  }
  for (const auto& [event, until] : told_) {
    if (until - now > longest.left) {
      longest = {.event = event, .left = until - now};
    }
  }
  return longest;
}

time_point lapsed_upstreams::AwaitsUntil(time_point now,
                                         const store_contact& contact) const {
  return now + Awaits(now, contact).left;
}

}  // namespace cuminswitch
