#include "cuminswitch/Fleet/lapsed_upstreams.h"

#include <algorithm>

#include "cuminswitch/Fleet/peer_roster.h"
#include "store_constants.h"

namespace cuminswitch {

/// Entries of upstreams that live are back about two seconds after the store's
/// return; one that is still missing then is gone.
static constexpr duration kLapsedTime = std::chrono::milliseconds(2300);
/// What a peer said of that counts until its next beats would have come.
static constexpr duration kAwaitsRepeat = std::chrono::milliseconds(400);

void lapsed_upstreams::OnPeer(time_point now,
                              const store_contact& contact,
                              const daemon_record& peer) {
  if (peer.awaits_entries) {
    peer_awaits_until_ = now + kAwaitsRepeat;
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

time_point lapsed_upstreams::AwaitsUntil(time_point now,
                                         const store_contact& contact) const {
  const bool was_away = contact.is_following && !contact.is_lost &&
                        !store_served_others_ &&
                        contact.regained_at != time_point();
  const time_point own = was_away ? contact.regained_at + kLapsedTime : now;
  return std::max({now, own, peer_awaits_until_});
}

}  // namespace cuminswitch
