/// \file
/// Obtains permits for the requests in flight at upstreams from their owners.
#ifndef CUMINSWITCH_ADMISSION_CONCURRENCY_PERMITS_H_
#define CUMINSWITCH_ADMISSION_CONCURRENCY_PERMITS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cuminswitch/Admission/concurrency_owner.h"
#include "cuminswitch/Admission/owner_selection.h"
#include "cuminswitch/Admission/quota_policy.h"
#include "cuminswitch/Protocol/concurrency_message.h"
#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Shares the concurrency of upstreams over the fleet. The permits of each
/// upstream have an owner. Daemons report to it what they hold and want,
/// whenever that changes and periodically; it replies with the number of
/// permits that it has granted in all. Every message carries the whole state,
/// so that lost ones and restarts of either side need no recovery.
///
/// While daemons may disagree on the owner, each grants a part of the capacity:
/// after its own start, after a daemon before it in the order has failed, and
/// while it is asked although another one comes before it.
///
/// Has no clock and does no I/O: its caller takes permits and messages from it.
class concurrency_permits {
 public:
  struct options {
    endpoint self;
    /// Unique to this start of the daemon.
    uint64_t id = 0;
  };

  explicit concurrency_permits(const options& opts);

  void SetFleet(time_point now, const quota_fleet_view& fleet);
  /// Sets what this daemon holds and wants at all upstreams that need permits,
  /// and reports what has changed.
  void SetDemand(time_point now, std::span<const concurrency_demand> demands);
  void OnReport(time_point now, const concurrency_report& report);
  void OnGrant(time_point now, const concurrency_grant& grant);
  /// Repeats reports and replaces unresponsive owners; called several times per
  /// second.
  void OnTick(time_point now);

  /// Counters since the daemon's start.
  struct counts {
    /// Permits that this daemon received.
    uint64_t received = 0;
    /// Owners that did not reply in time.
    uint64_t unresponsive_owners = 0;
  };
  const counts& totals() const { return totals_; }

  bool HasChanges() const { return !changes_.empty(); }
  std::vector<permit_change> TakeChanges() {
    return std::exchange(changes_, {});
  }
  std::vector<outgoing_concurrency_message> TakeMessages() {
    return std::exchange(messages_, {});
  }
  std::vector<concurrency_owner::capacity_change> TakeCapacityChanges() {
    return owner_.TakeChanges();
  }
  /// Whether it has nothing to report or grant.
  bool IsIdle() const { return clients_.empty() && owner_.size() == 0; }

 private:
  /// This daemon as a client of one upstream's owner.
  struct client_state {
    concurrency_demand demand;
    endpoint owner_address;
    uint64_t owner = 0;
    uint64_t granted = 0;
    /// What the owner knows: the last report, plus the permits granted since.
    uint32_t known_held = 0;
    uint32_t known_wanted = 0;
    uint64_t known_rejected = 0;
    time_point reported_at{};
    /// When the first report without a reply was sent.
    std::optional<time_point> unanswered_since;
  };

  /// Returns the share of \p upstream's capacity that this daemon may grant.
  double Share(time_point now, uint64_t upstream) const;
  /// Makes the present owner that of \p client.
  void UpdateOwner(time_point now, client_state& client);
  void Report(time_point now, client_state& client, bool wants_reply);
  /// Reports if the owner's knowledge is out of date.
  void ReportIfChanged(time_point now, client_state& client);
  /// Sends the owner's messages; applies those to this daemon.
  void Forward(time_point now);

  uint64_t id_;
  owner_selection owners_;
  concurrency_owner owner_;
  duration report_interval_;
  /// By upstream.
  std::unordered_map<uint64_t, client_state> clients_;
  counts totals_;
  std::vector<permit_change> changes_;
  std::vector<outgoing_concurrency_message> messages_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_CONCURRENCY_PERMITS_H_
