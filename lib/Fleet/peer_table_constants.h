/// \file
/// Times and sizes that the sources of the peer table share.
#ifndef CUMINSWITCH_LIB_FLEET_PEER_TABLE_CONSTANTS_H_
#define CUMINSWITCH_LIB_FLEET_PEER_TABLE_CONSTANTS_H_

#include <cstddef>

#include "cuminswitch/Fleet/peer_table.h"

namespace cuminswitch {

/// Beats sent in one round, so that a daemon's cost stays flat as the fleet
/// grows; a larger fleet is gone through in turn.
inline constexpr size_t kBeatsPerRound = 16;
/// A turn that takes more rounds is not gone through: it would last 1.5 s, and
/// what a peer's requests wait for is forgotten after a second.
inline constexpr size_t kMostRoundsInATurn = 12;
/// Partners of other failure domains. Beats between domains are the dearer
/// ones; a few links a daemon join the domains as well as many.
inline constexpr size_t kOtherDomainPartners = 4;
/// How long a partner is kept. A connection is opened for it, and pays for
/// itself over this.
inline constexpr duration kPartnerTime = std::chrono::seconds(20);
/// A partner of which nothing is heard by then is not there.
inline constexpr duration kUnknownPartnerTime = std::chrono::seconds(2);
/// How often a daemon looks whether those next to it on the ring are watched.
inline constexpr duration kAdoptionInterval = std::chrono::seconds(5);
/// Where no peer at all was heard for so long this daemon is cut off.
inline constexpr duration kIsolatedAfter = std::chrono::seconds(3);
/// Beats of a round beside these, to the peers that watch this daemon. Those of
/// its failure domain are near and cheap to beat; one of another domain is left
/// when the domain is lost. Where half of a fleet is lost at once, one in eight
/// times none of the three is left, and the next ones adopt the daemon.
inline constexpr size_t kOwnDomainWatchers = 2;
inline constexpr size_t kOtherDomainWatchers = 1;
/// A watched peer is suspected after five beats that did not come.
inline constexpr duration kWatchSilence = std::chrono::milliseconds(600);
/// The same for one that has started just now. It reads the whole list of the
/// deployment, which takes a small host a second and more; in a fleet that
/// starts all would suspect one another.
inline constexpr duration kWatchSilenceAtStart = std::chrono::seconds(2);
/// How long a daemon counts as started just now.
inline constexpr duration kStartTime = std::chrono::seconds(15);
/// From when a daemon hears that a peer is suspected until it takes it for
/// gone. The news reach the peer, and its answer all others, in three rounds.
inline constexpr duration kSuspicionTime = std::chrono::milliseconds(400);
/// A daemon that was away for longer between two rounds has not read what its
/// peers sent.
inline constexpr duration kLongestRound = 3 * peer_table::kHeartbeatInterval;
/// Peers named in a beat, others each time. The store lists them all, so this
/// is for the time without it; many beats a second name all peers soon.
inline constexpr size_t kNamedPerBeat = 3;
/// Partners beaten in one round while there are news of members, and while
/// there are none. Messages cost more than the bytes in them.
inline constexpr size_t kPartnersWithNews = 8;
inline constexpr size_t kPartnersAtRest = 1;
/// News of members in one beat.
inline constexpr size_t kMemberNewsPerBeat = 48;
/// Peers that are told something out of turn.
inline constexpr size_t kMostReachable = 96;
/// A peer that was not heard for so long is tried rarely, where one round
/// reaches all.
inline constexpr duration kSilentAfter = std::chrono::seconds(2);
inline constexpr duration kSilentInterval = std::chrono::seconds(1);
/// Between two beats to one peer out of turn. All of a fleet that starts at
/// once beat the same few seeds.
inline constexpr duration kAnswerInterval = std::chrono::milliseconds(300);
/// An address that only others named is forgotten after so long in silence.
inline constexpr duration kForgetAfter = std::chrono::seconds(10);
/// News of an end or a return reach all in less, whatever the fleet's size.
inline constexpr duration kLongestNotice = std::chrono::seconds(4);

/// A daemon that was silent for longer is taken for gone for good: one that is
/// killed is back within seconds, and a cut between hosts that lasts longer is
/// an outage that operators know of.
inline constexpr duration kMaybeAtWorkTime = std::chrono::seconds(60);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_FLEET_PEER_TABLE_CONSTANTS_H_
