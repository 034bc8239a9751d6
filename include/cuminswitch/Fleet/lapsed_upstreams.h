/// \file
/// Upstreams whose entries went with the store's own trouble.
#ifndef CUMINSWITCH_FLEET_LAPSED_UPSTREAMS_H_
#define CUMINSWITCH_FLEET_LAPSED_UPSTREAMS_H_

#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// How this daemon stands to the store.
struct store_contact {
  bool is_following = false;
  bool is_lost = false;
  time_point lost_at{};
  /// Never where it is the clock's beginning.
  time_point regained_at{};
};

/// Tells whether upstreams that are missing from the store may live.
///
/// A store that was away has not heard its upstreams, and drops their entries;
/// those that live are back about two seconds after its return. Without them a
/// daemon would refuse everything meanwhile. But a store that only turned this
/// daemon away has heard them all, and what is missing there is gone: kept, it
/// would get requests after it was drained.
class lapsed_upstreams {
 public:
  /// Notes what \p peer says of the store.
  void OnPeer(time_point now,
              const store_contact& contact,
              const daemon_record& peer);
  /// Until when entries that go missing are kept; \p now for not at all.
  time_point AwaitsUntil(time_point now, const store_contact& contact) const;

 private:
  /// While this daemon had lost the store, the store served another one.
  bool store_served_others_ = false;
  /// A peer said of late that entries may be missing.
  time_point peer_awaits_until_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_LAPSED_UPSTREAMS_H_
