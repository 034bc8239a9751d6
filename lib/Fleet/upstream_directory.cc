#include "cuminswitch/Fleet/upstream_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cuminswitch/Fleet/store_outage_tracker.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Whether \p a started after \p b. Compares their start times first, since an
/// entry's revision also increases when its upstream only reports that it is
/// draining.
static bool StartedLater(const upstream_entry& a, const upstream_entry& b) {
  if (a.started != 0 && b.started != 0 && a.started != b.started) {
    return a.started > b.started;
  }
  return std::tie(a.revision, a.id) > std::tie(b.revision, b.id);
}

/// Whether an entry that was removed at \p revision may have expired during a
/// store outage, so that its upstream may still be running.
static bool MayHaveExpired(time_point now,
                           revision_number revision,
                           const recovery_window& window) {
  return now < window.until && revision <= window.last_removal;
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
    Put(update.entry);
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
  Remove(update.id);
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
    Remove(id);
  }
}

void upstream_directory::Put(const upstream_ref& entry) {
  state& known = states_[entry->id];
  EndRetention(entry->id);
  const upstream_ref before = std::exchange(known.entry, entry);
  if (known.is_replaced && before->started == entry->started) {
    return;
  }
  if (before != nullptr && !known.is_replaced) {
    Deactivate(before);
  }
  known.is_replaced = false;
  if (const auto owner = active_by_address_.find(entry->address);
      owner != active_by_address_.end()) {
    const upstream_ref other = owner->second;
    if (!StartedLater(*entry, *other)) {
      known.is_replaced = true;
      return;
    }
    state& replaced = states_.find(other->id)->second;
    replaced.is_replaced = true;
    EndRetention(other->id);
    Deactivate(other);
  }
  Activate(entry);
}

void upstream_directory::Remove(const std::string& id) {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return;
  }
  if (!found->second.is_replaced) {
    Deactivate(found->second.entry);
  }
  EndRetention(id);
  states_.erase(found);
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
