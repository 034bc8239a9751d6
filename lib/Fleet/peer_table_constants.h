/// \file
/// Times and sizes that the sources of the peer table share.
#ifndef CUMINSWITCH_LIB_FLEET_PEER_TABLE_CONSTANTS_H_
#define CUMINSWITCH_LIB_FLEET_PEER_TABLE_CONSTANTS_H_

#include <cstddef>

#include "cuminswitch/Fleet/peer_table.h"

namespace cuminswitch {

/// Heartbeats sent in one round. The bound keeps the cost of a daemon constant
/// as the fleet grows; a larger fleet is covered in rotation.
inline constexpr size_t kHeartbeatsPerRound = 16;
/// A fleet that would need more rounds is partial: a rotation would last 1.5 s,
/// and the backlog that a peer reports expires after a second.
inline constexpr size_t kMaxRoundsPerRotation = 12;
/// Gossip partners in other failure domains. Heartbeats between domains cost
/// more, and a few links per daemon connect the domains as well as many.
inline constexpr size_t kOtherDomainPartners = 4;
/// How long a gossip partner is kept, long enough to make up for the cost of
/// opening a connection to it.
inline constexpr duration kPartnerLifetime = std::chrono::seconds(20);
/// A partner without a known record that has not replied by then is dropped.
inline constexpr duration kUnansweredPartnerTimeout = std::chrono::seconds(2);
/// Time between two searches for unmonitored neighbors on the ring.
inline constexpr duration kAdoptionInterval = std::chrono::seconds(5);
/// Without a heartbeat from any peer for so long, this daemon is partitioned
/// from all of them.
inline constexpr duration kIsolationTimeout = std::chrono::seconds(3);
/// Monitors of a daemon, which get a heartbeat in each round in addition to
/// `kHeartbeatsPerRound`. Those in its own failure domain are near, so that
/// these heartbeats are cheap; the one in another domain remains when the
/// domain is lost. When half of a fleet is lost at once, all three are lost in
/// one of eight cases, and the next neighbors adopt the daemon.
inline constexpr size_t kOwnDomainWatchers = 2;
inline constexpr size_t kOtherDomainWatchers = 1;
/// A monitored peer is suspected after five missed heartbeats.
inline constexpr duration kSuspectTimeout = std::chrono::milliseconds(600);
/// The same for a peer within `kStartupTime`. It is reading the whole list of
/// the deployment, which takes a small host a second and more; in a fleet that
/// starts, all daemons would otherwise suspect one another.
inline constexpr duration kStartupSuspectTimeout = std::chrono::seconds(2);
/// How long a daemon counts as just started.
inline constexpr duration kStartupTime = std::chrono::seconds(15);
/// Time from when a daemon learns that a peer is suspected until it regards it
/// as failed. The suspicion reaches the peer, and its refutation all others,
/// within three rounds.
inline constexpr duration kSuspicionTimeout = std::chrono::milliseconds(400);
/// A daemon that did not run for longer than this between two rounds has not
/// read what its peers sent in the meantime.
inline constexpr duration kMaxRoundGap = 3 * peer_table::kHeartbeatInterval;
/// Peers advertised in a heartbeat, others each time. This is for when the
/// store, which lists all of them, is unavailable; at many heartbeats a second
/// all peers are advertised soon.
inline constexpr size_t kAdvertisedPerHeartbeat = 3;
/// Gossip partners that get a heartbeat in one round while there are member
/// updates to send, and while there are none. The cost of a message is more
/// than that of its bytes.
inline constexpr size_t kPartnersPerRoundWithUpdates = 8;
inline constexpr size_t kPartnersPerRoundWhenIdle = 1;
/// Member updates in one heartbeat.
inline constexpr size_t kMemberUpdatesPerHeartbeat = 48;
/// Peers to which an update is sent at once, outside the rounds.
inline constexpr size_t kMaxReachable = 96;
/// After this time without a heartbeat from an address, it is contacted only
/// every `kUnresponsiveInterval`, in a fleet that is not partial.
inline constexpr duration kUnresponsiveAfter = std::chrono::seconds(2);
inline constexpr duration kUnresponsiveInterval = std::chrono::seconds(1);
/// Minimum time between the last heartbeat to a peer and a reply to it. All
/// daemons of a fleet that starts at once contact the same few seeds.
inline constexpr duration kReplyInterval = std::chrono::milliseconds(300);
/// An address that neither the store nor the seeds list is forgotten after so
/// long without a heartbeat from it or a peer that advertises it. A candidate
/// for a partner that did not reply is not contacted again for as long.
inline constexpr duration kForgetAfter = std::chrono::seconds(10);
/// Upper bound of the convergence time, whatever the size of the fleet.
inline constexpr duration kMaxConvergenceTime = std::chrono::seconds(4);

/// A daemon that sent nothing for longer no longer counts as possibly active:
/// one that is killed is restarted within seconds, and a network partition that
/// lasts longer is an outage that operators know of.
inline constexpr duration kPossiblyActiveTime = std::chrono::seconds(60);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_FLEET_PEER_TABLE_CONSTANTS_H_
