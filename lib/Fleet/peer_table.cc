#include "cuminswitch/Fleet/peer_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cuminswitch/Support/hash.h"
#include "peer_table_constants.h"

namespace cuminswitch {

/// Returns a key that orders the updates on one daemon: the greater one is the
/// later one. A suspicion outranks the record of the suspected version, and the
/// record of the next version outranks the suspicion.
static auto PrecedenceOf(const daemon_record& record, bool is_suspected) {
  return std::tuple(record.incarnation, record.version, is_suspected);
}

peer_table::peer_table(options opts) : options_(std::move(opts)) {
  for (const endpoint& seed : options_.seeds) {
    if (seed != options_.self_address) {
      addresses_[seed].is_listed = true;
    }
  }
}

void peer_table::SetListed(std::span<const daemon_entry> daemons) {
  for (auto& [address, state] : addresses_) {
    state.is_listed = std::find(options_.seeds.begin(), options_.seeds.end(),
                                address) != options_.seeds.end();
  }
  for (const daemon_entry& item : daemons) {
    if (item.name != options_.self_name) {
      addresses_[item.peer_address].is_listed = true;
    }
  }
}

bool peer_table::IsLarge() const {
  return addresses_.size() > kHeartbeatsPerRound;
}

bool peer_table::IsPartial() const {
  return addresses_.size() > kHeartbeatsPerRound * kMaxRoundsPerRotation;
}

bool peer_table::OnHeartbeat(time_point now, const heartbeat_frame& heartbeat) {
  const daemon_record& sender = heartbeat.sender;
  if (sender.name == options_.self_name) {
    return false;
  }
  for (const endpoint& address : heartbeat.recent_peers) {
    if (address != options_.self_address) {
      addresses_[address].advertised_at = now;
    }
  }
  last_heartbeat_at_ = now;
  peer& known = peers_[sender.name];
  address_state& address = addresses_[sender.peer_address];
  address.last_seen_at = now;
  address.owner = &known;
  if (sender.incarnation < known.record.incarnation) {
    return false;
  }
  const bool was_serving = known.record.is_ready;
  const bool is_outdated = sender.incarnation == known.record.incarnation &&
                           sender.version < known.record.version;
  const bool is_change =
      !is_outdated &&
      (!IsAlive(now, known) || known.record.incarnation != sender.incarnation ||
       known.record.version != sender.version ||
       known.record.is_ready != sender.is_ready ||
       known.record.is_leaving != sender.is_leaving);
  if (!is_outdated) {
    const bool is_same_version =
        known.record.incarnation == sender.incarnation &&
        known.record.version == sender.version;
    if (is_same_version && known.suspected_at) {
      known.has_refuted = true;
      must_notify_suspected_[sender.peer_address] = sender.name;
    } else if (!is_same_version) {
      known.has_refuted = false;
    }
    known.suspected_at.reset();
    if (known.record.incarnation != sender.incarnation) {
      known.started_at = now;
    }
    known.record = sender;
    known.name_hash = Hash64(sender.name);
    if (heartbeat.is_watched) {
      watched_.try_emplace(sender.name, now);
    } else {
      watched_.erase(sender.name);
    }
  }
  known.last_seen_at = now;
  known.alive_at = now;
  if (is_change) {
    has_changed_ = true;
    must_choose_watchers_ = true;
    // A peer that does not serve callers yet is of no interest to others.
    if (IsLarge() && (sender.is_ready || was_serving)) {
      member_updates_.Add({.record = sender});
    }
  }
  for (const member_update& update : heartbeat.members) {
    OnMemberUpdate(now, update);
  }
  return is_change;
}

void peer_table::OnMemberUpdate(time_point now, const member_update& update) {
  const daemon_record& record = update.record;
  if (record.name == options_.self_name) {
    OnSelfUpdate(update);
    return;
  }
  const auto found = peers_.find(record.name);
  const bool is_known = found != peers_.end();
  if (!is_known && update.is_suspected) {
    return;
  }
  if (is_known) {
    const peer& known = found->second;
    if (PrecedenceOf(record, update.is_suspected) <=
        PrecedenceOf(known.record,
                     known.suspected_at.has_value() || known.has_refuted)) {
      return;
    }
  }
  peer& item = is_known ? found->second : peers_[record.name];
  if (update.is_suspected) {
    item.record.incarnation = record.incarnation;
    item.record.version = record.version;
    Suspect(now, item);
    return;
  }
  const revision_number revision = item.record.revision;
  if (item.record.incarnation != record.incarnation) {
    item.started_at = now;
  }
  item.record = record;
  item.record.revision = revision;
  item.name_hash = Hash64(record.name);
  item.suspected_at.reset();
  item.has_refuted = false;
  item.alive_at = now;
  address_state& address = addresses_[record.peer_address];
  address.advertised_at = now;
  address.owner = &item;
  member_updates_.Add(update);
  has_changed_ = true;
  must_choose_watchers_ = true;
}

void peer_table::OnSelfUpdate(const member_update& update) {
  if (update.is_suspected &&
      update.record.incarnation == options_.self_incarnation &&
      update.record.version >= self_version_) {
    self_version_ = update.record.version + 1;
  }
}

void peer_table::Suspect(time_point now, peer& item) {
  item.suspected_at = now;
  item.has_refuted = false;
  watched_.erase(item.record.name);
  must_choose_watchers_ = true;
  newly_suspected_.push_back(item.record.name);
  member_updates_.Add({.record = item.record, .is_suspected = true});
}

void peer_table::SuspectUnresponsive(time_point now) {
  if (now - last_round_ > kMaxRoundGap) {
    running_since_ = now;
  }
  last_round_ = now;
  AdoptUnmonitored(now);
  std::vector<peer*> unresponsive;
  for (const auto& [name, since] : watched_) {
    peer& item = peers_.find(name)->second;
    const duration timeout = now - item.started_at < kStartupTime
                                 ? kStartupSuspectTimeout
                                 : kSuspectTimeout;
    if (now - std::max({item.last_seen_at, since, running_since_}) > timeout) {
      unresponsive.push_back(&item);
    }
  }
  for (peer* item : unresponsive) {
    Suspect(now, *item);
  }
}

void peer_table::AdoptUnmonitored(time_point now) {
  const bool is_due = IsPartial() && now >= next_adoption_;
  if (!IsLarge() || (!must_adopt_ && !is_due)) {
    return;
  }
  must_adopt_ = false;
  next_adoption_ = now + kAdoptionInterval;
  for (const peer* item :
       ListRingNeighbors(now, ring_side::kWatched, true, kOwnDomainWatchers)) {
    // A peer with version 0 may run a release that sends no heartbeats to
    // monitors.
    if (item->record.version > 0) {
      watched_.try_emplace(item->record.name, now);
    }
  }
}

std::vector<member_update> peer_table::TakeMemberUpdates(
    time_point now,
    const endpoint& address) {
  std::vector<member_update> updates =
      member_updates_.Take(kMemberUpdatesPerHeartbeat);
  if (IsPartial() && updates.size() < kMemberUpdatesPerHeartbeat) {
    // Reaches, sooner or later, the daemons that missed an update.
    for (const peer* item : NextAlive(now, 1)) {
      if (!item->suspected_at) {
        updates.push_back({.record = item->record});
      }
    }
  }
  if (const auto found = must_notify_suspected_.find(address);
      found != must_notify_suspected_.end()) {
    updates.push_back({.record = peers_.find(found->second)->second.record,
                       .is_suspected = true});
    must_notify_suspected_.erase(found);
  }
  return updates;
}

duration peer_table::FailureTimeout() const {
  const size_t rounds = std::max<size_t>(
      1, (addresses_.size() + kHeartbeatsPerRound - 1) / kHeartbeatsPerRound);
  return kFailureTimeout + kHeartbeatInterval * (rounds - 1) * 3;
}

duration peer_table::ConvergenceTime() const {
  return std::min(FailureTimeout() + kFailureTimeout, kMaxConvergenceTime);
}

bool peer_table::IsAlive(time_point now, const peer& item) const {
  const bool has_failed =
      item.suspected_at && now - *item.suspected_at > kSuspicionTimeout;
  if (item.alive_at == time_point() || has_failed) {
    return false;
  }
  return IsPartial() ? now - last_heartbeat_at_ <= kIsolationTimeout
                     : now - item.alive_at <= FailureTimeout();
}

const daemon_record* peer_table::Find(const std::string& name) const {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : &found->second.record;
}

bool peer_table::IsAlive(time_point now, const std::string& name) const {
  const auto found = peers_.find(name);
  return found != peers_.end() && IsAlive(now, found->second);
}

std::vector<daemon_record> peer_table::ListAlive(time_point now) const {
  std::vector<daemon_record> list;
  for (const auto& [name, item] : peers_) {
    if (IsAlive(now, item)) {
      list.push_back(item.record);
    }
  }
  return list;
}

bool peer_table::TakeChanged(time_point now) {
  own_domain_alive_ = 0;
  for (auto& [name, item] : peers_) {
    const bool is_alive = IsAlive(now, item);
    if (is_alive && item.record.failure_domain == options_.self_domain) {
      ++own_domain_alive_;
    }
    if (is_alive != item.was_alive) {
      item.was_alive = is_alive;
      has_changed_ = true;
      must_choose_watchers_ = true;
      must_adopt_ = must_adopt_ || item.suspected_at.has_value();
    }
  }
  return std::exchange(has_changed_, false);
}

std::vector<endpoint> peer_table::SampleAlive(time_point now) {
  std::vector<endpoint> sampled;
  if (IsPartial()) {
    // There, `TakeMemberUpdates` adds the record of a peer that is alive.
    return sampled;
  }
  for (const peer* item : NextAlive(now, kAdvertisedPerHeartbeat)) {
    sampled.push_back(item->record.peer_address);
  }
  return sampled;
}

std::vector<const peer_table::peer*> peer_table::NextAlive(time_point now,
                                                           size_t count) {
  std::vector<const peer*> sampled;
  auto next = peers_.upper_bound(last_sampled_);
  for (size_t i = 0; i < peers_.size() && sampled.size() < count; ++i) {
    if (next == peers_.end()) {
      next = peers_.begin();
    }
    if (IsAlive(now, next->second)) {
      sampled.push_back(&next->second);
      last_sampled_ = next->first;
    }
    ++next;
  }
  return sampled;
}

size_t peer_table::CountPossiblyActive(time_point now) const {
  return 1 +
         std::count_if(
             addresses_.begin(), addresses_.end(), [&](const auto& item) {
               const address_state& state = item.second;
               return (state.owner != nullptr && IsAlive(now, *state.owner)) ||
                      now - std::max({state.last_seen_at, state.advertised_at,
                                      state.first_known_at}) <=
                          kPossiblyActiveTime;
             });
}

size_t peer_table::CountKnown() const {
  return 1 + std::max(peers_.size(), addresses_.size());
}

}  // namespace cuminswitch
