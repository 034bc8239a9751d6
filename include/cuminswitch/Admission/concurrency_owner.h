/// \file
/// Grants permits for the requests in flight at upstreams.
#ifndef CUMINSWITCH_ADMISSION_CONCURRENCY_OWNER_H_
#define CUMINSWITCH_ADMISSION_CONCURRENCY_OWNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cuminswitch/Admission/drain_meter.h"
#include "cuminswitch/Protocol/concurrency_message.h"
#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Keeps what all daemons together have in flight at an upstream within its
/// slots, so that nothing depends on its queue, whose size is unknown and may
/// shrink. A few requests beyond the slots use the time in which permits are
/// returned and granted again: half of the rejections that the upstream
/// survives, until it rejects one.
///
/// A rejection lowers the number in flight, since an engine may run out of
/// memory before it runs out of slots; it is raised again slowly.
///
/// Permits go to the daemon whose request has waited longest. They belong to
/// daemons, not requests: a daemon uses them for its most urgent request.
///
/// An owner that begins does not know what was granted before. It grants
/// nothing until the other daemons have had time to report to it.
class concurrency_owner {
 public:
  /// A change that is worth a log line.
  struct capacity_change {
    uint64_t upstream = 0;
    /// Requests in flight that are allowed from now on.
    double capacity = 0;
    uint64_t rejected = 0;
  };

  /// \p id is unique to this start of the daemon at \p self.
  concurrency_owner(endpoint self, uint64_t id)
      : self_(std::move(self)), id_(id) {}

  /// Applies a report and grants what is free. \p share, from 0 to 1, is the
  /// part of the capacity that this owner may grant.
  void OnReport(time_point now, const concurrency_report& report, double share);
  /// Drops the daemons at addresses other than \p alive: their requests ended
  /// with them.
  void SetAlive(std::span<const endpoint> alive);
  /// Grants what is free. \p share returns the share for an upstream.
  template <class ShareOf>
  void OnTick(time_point now, const ShareOf& share) {
    Expire(now);
    for (auto& [upstream, item] : upstreams_) {
      Grant(now, upstream, item, share(upstream));
    }
  }

  std::vector<outgoing_concurrency_message> TakeMessages() {
    return std::exchange(messages_, {});
  }
  std::vector<capacity_change> TakeChanges() {
    return std::exchange(changes_, {});
  }
  size_t size() const { return upstreams_.size(); }

 private:
  /// What one daemon has and wants.
  struct holder {
    uint64_t requester = 0;
    /// Permits granted to it, and those of them that it has reported.
    uint64_t granted = 0;
    uint64_t seen = 0;
    uint32_t held = 0;
    uint32_t wanted = 0;
    uint64_t rejected = 0;
    time_point oldest{};
    time_point reported_at{};

    /// Upper bound of what it has in flight.
    uint64_t Outstanding() const { return held + (granted - seen); }
  };
  struct upstream_state {
    uint32_t slots = 1;
    uint32_t rejection_limit = 0;
    time_point opened_at{};
    time_point reported_at{};
    /// Requests in flight at which it rejected one, lowered; and since when.
    double lowered_to = 0;
    time_point lowered_at{};
    bool has_rejected = false;
    drain_meter completions;
    std::map<endpoint, holder> holders;
  };

  /// Applies \p report to the state of its sender. Returns whether the sender
  /// follows this owner's count of permits.
  bool ApplyReport(time_point now,
                   const concurrency_report& report,
                   holder& daemon) const;
  static uint64_t Outstanding(const upstream_state& item);
  /// Returns the requests in flight that are allowed now.
  static uint64_t Capacity(time_point now,
                           const upstream_state& item,
                           double share);
  void OnRejections(time_point now,
                    uint64_t upstream,
                    upstream_state& item,
                    uint64_t count);
  void Grant(time_point now,
             uint64_t upstream,
             upstream_state& item,
             double share);
  void Reply(time_point now,
             uint64_t upstream,
             const upstream_state& item,
             const endpoint& to);
  void Expire(time_point now);

  endpoint self_;
  uint64_t id_;
  std::unordered_map<uint64_t, upstream_state> upstreams_;
  std::vector<outgoing_concurrency_message> messages_;
  std::vector<capacity_change> changes_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_CONCURRENCY_OWNER_H_
