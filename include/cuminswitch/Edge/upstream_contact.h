/// \file
/// Judges whether this daemon reaches any upstream.
#ifndef CUMINSWITCH_EDGE_UPSTREAM_CONTACT_H_
#define CUMINSWITCH_EDGE_UPSTREAM_CONTACT_H_

#include <cstdint>
#include <set>
#include <span>
#include <vector>

#include "cuminswitch/Fleet/fleet_snapshot.h"
#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Distinguishes a daemon that is partitioned from all upstreams from upstreams
/// that fail. A failure at one upstream casts doubt on the contact with all. A
/// response to a request that was sent later ends the doubt; probes at several
/// upstreams that all fail confirm it.
class upstream_contact {
 public:
  enum class state : uint8_t {
    kReached,
    /// A request failed, and no later one has been responded to.
    kInDoubt,
    /// Probes failed too.
    kLost,
  };

  /// An attempt that ended without a response, as its connection did.
  struct failure {
    endpoint upstream;
    bool on_new_connection = false;
  };

  /// Records a response to a request that was sent at \p sent.
  void OnResponse(time_point sent, bool on_new_connection);
  void OnFailure(time_point now, const failure& seen);
  /// Records that a request sent to \p upstream at \p sent was not responded
  /// to in time. Casts doubt only if no upstream has responded since.
  void OnSilence(time_point now, const endpoint& upstream, time_point sent);

  /// Whether a round of probes is due.
  bool NeedsProbes(time_point now) const;
  void OnProbesSent(time_point now);
  /// Records that none of the probes sent at \p sent was responded to.
  void OnProbesFailed(time_point sent);

  state current() const { return state_; }
  /// When the present doubt began.
  time_point doubted_since() const { return doubted_since_; }
  /// Upstreams that have failed since then.
  const std::set<endpoint>& failed() const { return failed_; }
  uint64_t doubt_count() const { return doubt_count_; }

 private:
  void CastDoubt(time_point now, const failure& seen);

  state state_ = state::kReached;
  time_point doubted_since_{};
  time_point next_probes_{};
  /// When the request with the latest response was sent.
  time_point responded_sent_{};
  /// Connections that are open may live on where new ones are refused, so a
  /// response on one of them does not end a doubt cast by a new one.
  bool needs_new_connection_ = false;
  std::set<endpoint> failed_;
  uint64_t doubt_count_ = 0;
};

/// Returns at most \p count addresses of \p upstreams to probe: of different
/// services where possible, those that are not in \p failed first. \p seed
/// varies the choice.
std::vector<endpoint> ChooseProbeTargets(
    std::span<const upstream_ref> upstreams,
    const std::set<endpoint>& failed,
    size_t count,
    uint64_t seed);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_UPSTREAM_CONTACT_H_
