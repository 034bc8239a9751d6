/// \file
/// Selects the daemon that decides about a subject for the whole fleet.
#ifndef CUMINSWITCH_ADMISSION_OWNER_SELECTION_H_
#define CUMINSWITCH_ADMISSION_OWNER_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "cuminswitch/Admission/quota_policy.h"
#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Each subject has an owner: the first of the alive daemons by rendezvous
/// hashing, which each daemon computes by itself. Also tells for how long, and
/// how far, daemons may disagree on it.
class owner_selection {
 public:
  /// Time after which a newly started daemon has received heartbeats from most
  /// others; on 68 hosts they reach all within 0.6 s.
  static constexpr duration kWarmUpTime = std::chrono::milliseconds(1'500);

  explicit owner_selection(const endpoint& self);

  void SetFleet(time_point now, const quota_fleet_view& fleet);
  /// Skips the daemon at \p address until \p until, since it did not reply.
  void SkipUntil(const endpoint& address, time_point until);

  const endpoint& self() const { return self_.address; }
  /// Returns the address of \p subject's owner; this daemon's if no other one
  /// is left.
  const endpoint& FindOwner(time_point now, uint64_t subject) const;
  /// Whether a daemon that precedes this one in the order failed within the
  /// convergence time. If it is only partitioned, it may still be an owner to
  /// others.
  bool HasTakenOver(time_point now, uint64_t subject) const;
  /// Whether an alive daemon precedes this one, even one that is skipped.
  bool IsPreceded(uint64_t subject) const;
  /// Whether this daemon has been running for less than \p time.
  bool HasStartedWithin(time_point now, duration time) const;
  /// Returns the smallest share of the fleet that was seen alive within the
  /// convergence time.
  double MinAliveShare(time_point now) const;
  /// Returns the number of possibly active daemons, this one included.
  size_t daemon_count() const { return daemon_count_; }
  duration convergence_time() const { return convergence_time_; }

 private:
  struct candidate {
    endpoint address;
    uint64_t hash = 0;
  };
  struct failed_daemon {
    candidate daemon;
    /// When this daemon removed it from its candidates.
    time_point at{};
  };
  /// Share of the fleet's daemons that were seen alive from a time on.
  struct alive_share {
    time_point from{};
    double share = 0;
  };

  bool IsSkipped(time_point now, const endpoint& address) const;
  /// Records the candidates that are neither among \p next nor \p leaving as
  /// failed.
  void RecordFailed(time_point now,
                    std::span<const candidate> next,
                    std::span<const endpoint> leaving);

  candidate self_;
  /// The alive daemons that may own subjects.
  std::vector<candidate> candidates_;
  /// Daemons that failed within the convergence time.
  std::vector<failed_daemon> recently_failed_;
  size_t daemon_count_ = 1;
  duration convergence_time_{0};
  /// Shares of the fleet seen alive, the latest one last.
  std::vector<alive_share> alive_shares_;
  /// Time of the first call of `SetFleet`.
  std::optional<time_point> started_at_;
  std::map<endpoint, time_point> skipped_until_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_OWNER_SELECTION_H_
