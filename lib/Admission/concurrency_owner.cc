#include "cuminswitch/Admission/concurrency_owner.h"

#include <algorithm>
#include <cmath>

namespace cuminswitch {

/// Time in which the daemons report what they hold to an owner that begins.
static constexpr duration kSettlingTime = std::chrono::milliseconds(250);
/// An owner that has had no report for this time begins anew: permits may have
/// been granted elsewhere meanwhile.
static constexpr duration kMaxReportGap = std::chrono::seconds(2);
/// Daemons that have not reported for this time hold nothing any more.
static constexpr duration kHolderLifetime = std::chrono::seconds(5);
/// A rejection lowers the requests in flight by this factor, at most once in
/// `kLoweringInterval`.
static constexpr double kLoweringFactor = 0.75;
static constexpr duration kLoweringInterval = std::chrono::milliseconds(100);
/// Requests in flight by which a lowered number rises per second.
static constexpr double kRaisePerSecond = 1;

uint64_t concurrency_owner::Outstanding(const upstream_state& item) {
  uint64_t sum = 0;
  for (const auto& [address, daemon] : item.holders) {
    sum += daemon.Outstanding();
  }
  return sum;
}

uint64_t concurrency_owner::Capacity(time_point now,
                                     const upstream_state& item,
                                     double share) {
  double capacity = item.slots;
  if (item.has_rejected) {
    // An upstream that survives no rejection is not tried with more again.
    const double raised =
        item.rejection_limit == 0
            ? 0
            : kRaisePerSecond * ToSeconds(now - item.lowered_at);
    capacity = std::min(capacity, item.lowered_to + raised);
  }
  // Other owners may have the rest of the capacity, and their own extra.
  const uint64_t extra =
      item.has_rejected || share < 1 ? 0 : (item.rejection_limit + 1) / 2;
  const auto granted = static_cast<uint64_t>(std::lround(capacity * share));
  return std::max<uint64_t>(1, granted) + std::min<uint64_t>(extra, item.slots);
}

void concurrency_owner::OnRejections(time_point now,
                                     uint64_t upstream,
                                     upstream_state& item,
                                     uint64_t count) {
  if (item.has_rejected && now - item.lowered_at < kLoweringInterval) {
    return;
  }
  // With more in flight than it has slots, its queue was too short. Otherwise
  // something else limits it.
  const auto in_flight = static_cast<double>(Outstanding(item) + count);
  item.lowered_to = in_flight > item.slots
                        ? item.slots
                        : std::max(1.0, kLoweringFactor * in_flight);
  item.lowered_at = now;
  item.has_rejected = true;
  changes_.push_back(
      {.upstream = upstream, .capacity = item.lowered_to, .rejected = count});
}

void concurrency_owner::OnReport(time_point now,
                                 const concurrency_report& report,
                                 double share) {
  const concurrency_demand& demand = report.demand;
  const auto [found, is_new] = upstreams_.try_emplace(demand.upstream);
  upstream_state& item = found->second;
  if (is_new || now - item.reported_at > kMaxReportGap) {
    item.opened_at = now;
  }
  item.reported_at = now;
  item.slots = std::max<uint32_t>(1, demand.slots);
  item.rejection_limit = demand.rejection_limit;
  holder& daemon = item.holders[report.from];
  const uint64_t outstanding_before = daemon.Outstanding();
  const uint64_t rejected_before =
      daemon.requester == report.requester ? daemon.rejected : demand.rejected;
  const bool is_follower = ApplyReport(now, report, daemon);
  for (uint64_t i = daemon.Outstanding(); i < outstanding_before; ++i) {
    item.completions.OnCompletion(now);
  }
  if (demand.rejected > rejected_before) {
    OnRejections(now, demand.upstream, item, demand.rejected - rejected_before);
  }
  const uint64_t granted_before = daemon.granted;
  Grant(now, demand.upstream, item, share);
  const bool has_replied = daemon.granted != granted_before;
  if (!is_follower || (report.wants_reply && !has_replied)) {
    Reply(now, demand.upstream, item, report.from);
  }
}

bool concurrency_owner::ApplyReport(time_point now,
                                    const concurrency_report& report,
                                    holder& daemon) const {
  const concurrency_demand& demand = report.demand;
  if (daemon.requester != report.requester) {
    daemon = {.requester = report.requester};
  }
  const bool is_follower = report.owner == id_;
  if (is_follower && report.granted > daemon.granted) {
    // This owner has forgotten the daemon meanwhile.
    daemon.granted = report.granted;
  }
  daemon.seen = is_follower ? report.granted : daemon.granted;
  daemon.held = demand.held;
  daemon.oldest = now - demand.oldest_wait;
  daemon.rejected = demand.rejected;
  daemon.reported_at = now;
  // Permits that are under way serve some of what it wants. A daemon that does
  // not follow this owner's count yet could not tell new permits from old ones.
  const uint64_t under_way = daemon.granted - daemon.seen;
  daemon.wanted = is_follower && demand.wanted > under_way
                      ? demand.wanted - static_cast<uint32_t>(under_way)
                      : 0;
  return is_follower;
}

void concurrency_owner::Grant(time_point now,
                              uint64_t upstream,
                              upstream_state& item,
                              double share) {
  if (now - item.opened_at < kSettlingTime) {
    return;
  }
  const uint64_t capacity = Capacity(now, item, share);
  uint64_t outstanding = Outstanding(item);
  std::vector<const endpoint*> granted;
  while (outstanding < capacity) {
    auto first = item.holders.end();
    for (auto it = item.holders.begin(); it != item.holders.end(); ++it) {
      if (it->second.wanted > 0 && (first == item.holders.end() ||
                                    it->second.oldest < first->second.oldest)) {
        first = it;
      }
    }
    if (first == item.holders.end()) {
      break;
    }
    ++first->second.granted;
    --first->second.wanted;
    ++outstanding;
    granted.push_back(&first->first);
  }
  std::sort(granted.begin(), granted.end());
  granted.erase(std::unique(granted.begin(), granted.end()), granted.end());
  for (const endpoint* to : granted) {
    Reply(now, upstream, item, *to);
  }
}

void concurrency_owner::Reply(time_point now,
                              uint64_t upstream,
                              const upstream_state& item,
                              const endpoint& to) {
  uint64_t waiting = 0;
  for (const auto& [address, daemon] : item.holders) {
    waiting += daemon.wanted;
  }
  duration wait{0};
  if (waiting > 0 && item.completions.HasMeasured()) {
    wait = FromSeconds(static_cast<double>(waiting) /
                       item.completions.RatePerSecond(now));
  }
  messages_.push_back(
      {.to = to,
       .message = concurrency_grant{.from = self_,
                                    .owner = id_,
                                    .upstream = upstream,
                                    .granted = item.holders.at(to).granted,
                                    .wait = wait}});
}

void concurrency_owner::SetAlive(std::span<const endpoint> alive) {
  for (auto& [upstream, item] : upstreams_) {
    std::erase_if(item.holders, [&](const auto& daemon) {
      return std::find(alive.begin(), alive.end(), daemon.first) == alive.end();
    });
  }
}

void concurrency_owner::Expire(time_point now) {
  for (auto& [upstream, item] : upstreams_) {
    std::erase_if(item.holders, [&](const auto& daemon) {
      return now - daemon.second.reported_at > kHolderLifetime;
    });
  }
  std::erase_if(upstreams_, [&](const auto& item) {
    return item.second.holders.empty() &&
           now - item.second.reported_at > kHolderLifetime;
  });
}

}  // namespace cuminswitch
