#include "cuminswitch/Fleet/upstream_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cuminswitch/Fleet/store_outage_tracker.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// How long a removed start is remembered. A write that the store has not
/// answered may be carried out seconds later.
static constexpr std::chrono::seconds kLateWriteTime{30};
/// An entry that is listed for this long after another one replaced it is
/// renewed: the store drops those of silent upstreams within a few seconds.
static constexpr std::chrono::seconds kMaxSilence{10};
/// Interval between two uses of an entry that was refuted, while others claim
/// its address.
static constexpr std::chrono::seconds kRefutationTime{1};

/// Whether an entry that was removed at \p revision may have expired during a
/// store outage, so that its upstream may still be running.
static bool MayHaveExpired(time_point now,
                           revision_number revision,
                           const recovery_window& window) {
  return now < window.until && revision <= window.last_removal;
}

bool upstream_directory::StartedLater(const state& a, const state& b) {
  const uint64_t a_started = a.entry->started;
  const uint64_t b_started = b.entry->started;
  if (a_started != 0 && b_started != 0 && a_started != b_started) {
    return a_started > b_started;
  }
  // The revision of the last change would not do: it also increases when an
  // upstream only reports that it is draining.
  return std::tie(a.first_revision, a.entry->id) >
         std::tie(b.first_revision, b.entry->id);
}

size_t upstream_directory::address_hash::operator()(
    const endpoint& address) const {
  return Hash64(address.address, address.port);
}

void upstream_directory::Apply(time_point now,
                               const upstream_entry_update& update,
                               const recovery_window& window) {
  unreadable_.erase(update.id);
  if (update.entry != nullptr) {
    Put(now, update.entry);
    return;
  }
  const auto found = states_.find(update.id);
  if (update.is_unreadable) {
    // The entry exists, so it has not expired; the upstream must not be used.
    unreadable_.insert(update.id);
  } else if (found != states_.end() && !found->second.is_replaced &&
             !found->second.entry->is_draining &&
             MayHaveExpired(now, update.revision, window)) {
    found->second.removed_at = update.revision;
    last_retained_removal_ = std::max(last_retained_removal_, update.revision);
    if (retained_.insert(update.id).second) {
      retained_changes_.push_back(
          {.id = update.id, .revision = update.revision, .is_retained = true});
    }
    return;
  }
  Remove(now, update.id);
}

void upstream_directory::Expire(time_point now, const recovery_window& window) {
  if (MayHaveExpired(now, last_retained_removal_, window)) {
    return;
  }
  last_retained_removal_ = window.last_removal;
  std::vector<std::string> expired;
  for (const std::string& id : retained_) {
    if (!MayHaveExpired(now, states_.find(id)->second.removed_at, window)) {
      expired.push_back(id);
    }
  }
  for (const std::string& id : expired) {
    Remove(now, id);
  }
}

void upstream_directory::Put(time_point now, const upstream_ref& entry) {
  state& known = states_[entry->id];
  EndRetention(entry->id);
  const upstream_ref before = std::exchange(known.entry, entry);
  const bool is_same_start =
      before != nullptr && before->started == entry->started;
  if (known.is_replaced && is_same_start && before->address == entry->address) {
    return;
  }
  if (known.is_replaced) {
    ForgetReplaced(*before);
  } else if (before != nullptr) {
    Deactivate(before);
  }
  known.is_replaced = false;
  if (!is_same_start) {
    known.first_revision = FirstRevision(now, *entry);
    known.refuted_at.reset();
  }
  if (const auto owner = active_by_address_.find(entry->address);
      owner != active_by_address_.end()) {
    state& other = states_.find(owner->second->id)->second;
    if (!StartedLater(known, other)) {
      Replace(now, known);
      return;
    }
    Deactivate(other.entry);
    Replace(now, other);
  }
  Activate(entry);
}

revision_number upstream_directory::FirstRevision(
    time_point now,
    const upstream_entry& entry) const {
  const auto found = departed_.find(entry.id);
  const bool is_listed_again = found != departed_.end() &&
                               found->second.started == entry.started &&
                               now < found->second.forget_at;
  return is_listed_again ? found->second.first_revision : entry.revision;
}

void upstream_directory::Replace(time_point now, state& item) {
  item.is_replaced = true;
  item.replaced_at = now;
  replaced_by_address_[item.entry->address].insert(item.entry->id);
  EndRetention(item.entry->id);
}

void upstream_directory::Remove(time_point now, const std::string& id) {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return;
  }
  EndRetention(id);
  const state removed = found->second;
  RecordDeparture(now, removed);
  states_.erase(found);
  if (!removed.is_replaced) {
    Deactivate(removed.entry);
    RestoreReplaced(now, *removed.entry);
    return;
  }
  ForgetReplaced(*removed.entry);
}

void upstream_directory::ForgetReplaced(const upstream_entry& item) {
  const auto replaced = replaced_by_address_.find(item.address);
  replaced->second.erase(item.id);
  if (replaced->second.empty()) {
    replaced_by_address_.erase(replaced);
    vacant_.erase(item.address);
  }
}

void upstream_directory::RecordDeparture(time_point now, const state& removed) {
  while (!departures_.empty() && departures_.front().first <= now) {
    const auto found = departed_.find(departures_.front().second);
    if (found != departed_.end() && found->second.forget_at <= now) {
      departed_.erase(found);
    }
    departures_.pop_front();
  }
  const time_point forget_at = now + kLateWriteTime;
  departed_[removed.entry->id] = {.first_revision = removed.first_revision,
                                  .started = removed.entry->started,
                                  .forget_at = forget_at};
  departures_.emplace_back(forget_at, removed.entry->id);
}

bool upstream_directory::IsPreferred(const state& a, const state& b) {
  // One that was never refuted first, then the one that was so the longest ago.
  if (a.refuted_at != b.refuted_at) {
    return a.refuted_at < b.refuted_at;
  }
  return StartedLater(a, b);
}

void upstream_directory::Restore(state& item) {
  item.is_replaced = false;
  ForgetReplaced(*item.entry);
  Activate(item.entry);
}

void upstream_directory::RestoreReplaced(time_point now,
                                         const upstream_entry& removed) {
  const auto replaced = replaced_by_address_.find(removed.address);
  if (replaced == replaced_by_address_.end()) {
    return;
  }
  state* preferred = nullptr;
  for (const std::string& id : replaced->second) {
    state& item = states_.find(id)->second;
    const uint64_t started = item.entry->started;
    // Of two known start times, the earlier process ended before the later one
    // could listen at its address.
    const bool has_ended = started != 0 && started < removed.started &&
                           now - item.replaced_at < kMaxSilence;
    if (!has_ended && (preferred == nullptr || IsPreferred(item, *preferred))) {
      preferred = &item;
    }
  }
  if (preferred == nullptr) {
    vacant_.insert(removed.address);
    return;
  }
  Restore(*preferred);
}

void upstream_directory::RestoreListed(time_point now) {
  for (const endpoint& address : std::exchange(vacant_, {})) {
    state* preferred = nullptr;
    for (const std::string& id : replaced_by_address_.at(address)) {
      state& item = states_.find(id)->second;
      if (preferred == nullptr || IsPreferred(item, *preferred)) {
        preferred = &item;
      }
    }
    if (now - preferred->replaced_at < kMaxSilence) {
      vacant_.insert(address);
    } else {
      Restore(*preferred);
    }
  }
}

bool upstream_directory::Refute(time_point now,
                                std::string_view id,
                                uint64_t started) {
  const auto found = states_.find(id);
  if (found == states_.end() || found->second.is_replaced ||
      found->second.entry->started != started) {
    return false;
  }
  state& refuted = found->second;
  refuted.refuted_at = now;
  const auto others = replaced_by_address_.find(refuted.entry->address);
  if (others == replaced_by_address_.end()) {
    return false;
  }
  state* preferred = nullptr;
  for (const std::string& other : others->second) {
    state& item = states_.find(other)->second;
    // One that leaves would get no requests, so that nothing would refute it.
    if (!item.entry->is_draining &&
        (preferred == nullptr || IsPreferred(item, *preferred))) {
      preferred = &item;
    }
  }
  const bool is_too_soon = preferred != nullptr && preferred->refuted_at &&
                           now - *preferred->refuted_at < kRefutationTime;
  if (preferred == nullptr || is_too_soon) {
    return false;
  }
  Deactivate(refuted.entry);
  Replace(now, refuted);
  Restore(*preferred);
  return true;
}

void upstream_directory::EndRetention(const std::string& id) {
  if (retained_.erase(id) != 0) {
    retained_changes_.push_back(
        {.id = id,
         .revision = states_.find(id)->second.removed_at,
         .is_retained = false});
  }
}

void upstream_directory::Activate(const upstream_ref& item) {
  RecordChange(item->id, nullptr);
  active_by_address_[item->address] = item;
  vacant_.erase(item->address);
  if (replaced_by_address_.contains(item->address)) {
    contested_.push_back(item);
  }
  ++service_sizes_[item->service];
  ++in_use_count_;
}

void upstream_directory::Deactivate(const upstream_ref& item) {
  RecordChange(item->id, item);
  active_by_address_.erase(item->address);
  const auto size = service_sizes_.find(item->service);
  if (--size->second == 0) {
    service_sizes_.erase(size);
  }
  --in_use_count_;
}

void upstream_directory::RecordChange(const std::string& id,
                                      const upstream_ref& before) {
  changed_.try_emplace(id, before);
  ++version_;
}

std::vector<upstream_change> upstream_directory::TakeChanges() {
  std::vector<upstream_change> changes;
  for (auto& [id, before] : std::exchange(changed_, {})) {
    upstream_ref after = Find(id);
    if (after != before) {
      changes.push_back(
          {.id = id, .before = before, .after = std::move(after)});
    }
  }
  return changes;
}

upstream_ref upstream_directory::Find(std::string_view id) const {
  const auto found = states_.find(id);
  return found == states_.end() || found->second.is_replaced
             ? nullptr
             : found->second.entry;
}

std::vector<upstream_ref> upstream_directory::List() const {
  std::vector<upstream_ref> list;
  list.reserve(in_use_count_);
  for (const auto& [id, known] : states_) {
    if (!known.is_replaced) {
      list.push_back(known.entry);
    }
  }
  return list;
}

size_t upstream_directory::CountOf(std::string_view service) const {
  const auto found = service_sizes_.find(service);
  return found == service_sizes_.end() ? 0 : found->second;
}

}  // namespace cuminswitch
