// Origins of streams on their way to the leader, which records them in the
// store.
#include <algorithm>
#include <utility>
#include <vector>

#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Fleet/fleet_task.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// How long the origins of streams are kept for the next leader, in case that
/// the present one ends before it has recorded them.
static constexpr duration kRecentOriginTime = std::chrono::seconds(10);

void fleet_task::RecordOrigins(std::span<const stream_origin> origins) {
  const time_point now = ReadBootClock();
  if (!election_.IsLeading(now)) {
    // The sender takes this daemon for the leader, and it may be that soon.
    KeepOrigins(now, origins);
    return;
  }
  origin_records_.Add(origins);
  origin_records_.OnTick(now);
  if (origin_records_.HasPending()) {
    origins_timer_.Start(origin_records::kInterval);
  }
}

void fleet_task::KeepOrigins(time_point now,
                             std::span<const stream_origin> origins) {
  for (const stream_origin& item : origins) {
    recent_origins_.emplace_back(now, item);
  }
  while (!recent_origins_.empty() &&
         now - recent_origins_.front().first > kRecentOriginTime) {
    recent_origins_.pop_front();
  }
}

const daemon_record* fleet_task::FindLeader() const {
  if (snapshot_ == nullptr) {
    return nullptr;
  }
  const auto found = std::find_if(
      published_peers_.begin(), published_peers_.end(),
      [this](const daemon_record& item) {
        return item.name == snapshot_->leader && item.shares_concurrency;
      });
  return found == published_peers_.end() ? nullptr : &*found;
}

void fleet_task::SendOriginsToLeader(std::span<const stream_origin> origins) {
  const time_point now = ReadBootClock();
  const bool is_leading = election_.IsLeading(now);
  const daemon_record* leader = is_leading ? &options_.self : FindLeader();
  if (leader == nullptr) {
    // Those that are kept are sent when there is a leader.
    origin_leader_ = 0;
    return;
  }
  if (is_leading) {
    RecordOrigins(origins);
    return;
  }
  transport_->Send(leader->peer_address,
                   EncodePeerFrame(origin_record_frame{
                       .origins = {origins.begin(), origins.end()}}));
}

void fleet_task::UpdateOriginLeader(time_point now) {
  KeepOrigins(now, {});
  const bool is_leading = election_.IsLeading(now);
  const daemon_record* leader = is_leading ? &options_.self : FindLeader();
  const uint64_t leader_id =
      leader == nullptr ? 0 : Hash64(leader->name, leader->incarnation);
  if (std::exchange(origin_leader_, leader_id) == leader_id || leader_id == 0 ||
      recent_origins_.empty()) {
    return;
  }
  std::vector<stream_origin> origins;
  for (const auto& [began, origin] : recent_origins_) {
    origins.push_back(origin);
  }
  SendOriginsToLeader(origins);
}

}  // namespace cuminswitch
