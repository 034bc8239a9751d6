/// \file
/// Upstreams whose entries went with the store's own trouble.
#ifndef CUMINSWITCH_FLEET_LAPSED_UPSTREAMS_H_
#define CUMINSWITCH_FLEET_LAPSED_UPSTREAMS_H_

#include <cstdint>
#include <map>

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
///
/// Daemons pass on what others await. Each return of the store is awaited until
/// one time, however often and late it is told, so that no daemons keep one
/// another waiting.
class lapsed_upstreams {
 public:
  /// \p self is a hash of this daemon's process.
  explicit lapsed_upstreams(uint64_t self = 0) : self_(self) {}

  /// Notes what \p peer says of the store.
  void OnPeer(time_point now,
              const store_contact& contact,
              const daemon_record& peer);
  /// Until when entries that go missing are kept; \p now for not at all.
  time_point AwaitsUntil(time_point now, const store_contact& contact) const;
  /// Returns what to tell peers of that.
  awaited_entries Awaits(time_point now, const store_contact& contact) const;

 private:
  /// The return of the store that this daemon saw.
  uint64_t OwnEvent(const store_contact& contact) const;
  bool SawAllLoseIt(const store_contact& contact) const;

  uint64_t self_;
  /// While this daemon had lost the store, the store served another one.
  bool store_served_others_ = false;
  /// Until when entries may be missing, by the return that peers tell of.
  std::map<uint64_t, time_point> told_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_LAPSED_UPSTREAMS_H_
