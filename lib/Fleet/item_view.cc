#include "cuminswitch/Fleet/item_view.h"

#include <algorithm>
#include <set>

namespace cuminswitch {

/// Maximum number of records of removed items. A release replaces a few dozen
/// upstreams; a peer that is further behind gets the complete list instead.
static constexpr size_t kMaxRemovedItems = 512;
/// Maximum number of relayed changes that are found without visiting all items.
/// A crash and restart of a thousand upstreams makes twice as many changes as
/// upstreams.
static constexpr size_t kMaxRecentChanges = 4096;

static item_change MakeChange(const std::string& key,
                              const item_view::entry& known) {
  return {.key = key, .value = known.value, .revision = known.revision};
}

bool item_view::Apply(const item_change& change) {
  const auto [found, is_new] = entries_.try_emplace(change.key);
  entry& known = found->second;
  if (change.revision <= known.revision && known.revision != 0) {
    return false;
  }
  const bool was_removed = !is_new && !known.value;
  removed_count_ += (change.value ? 0 : 1) - (was_removed ? 1 : 0);
  known.value = change.value;
  known.revision = change.revision;
  return true;
}

std::vector<std::string> item_view::ApplyAll(std::span<const item_change> items,
                                             revision_number at) {
  std::vector<std::string> changed;
  std::set<std::string_view> listed;
  for (const item_change& item : items) {
    if (Apply(item)) {
      changed.push_back(item.key);
    }
    listed.insert(item.key);
  }
  for (auto& [key, known] : entries_) {
    if (known.value && known.revision <= at && !listed.contains(key)) {
      known.value.reset();
      known.revision = at;
      ++removed_count_;
      changed.push_back(key);
    }
  }
  if (!HasRead()) {
    // The first list holds no record of earlier removals.
    pruned_up_to_ = std::max(pruned_up_to_, at);
  }
  revision_ = std::max(revision_, at);
  relay_revision_ = std::max<revision_number>(relay_revision_, 1);
  PruneRemoved(changed);
  return changed;
}

std::vector<std::string> item_view::ApplyChanges(
    std::span<const item_change> changes,
    revision_number at) {
  std::vector<std::string> changed;
  for (const item_change& change : changes) {
    if (Apply(change)) {
      changed.push_back(change.key);
    }
  }
  revision_ = std::max(revision_, at);
  relay_revision_ = std::max<revision_number>(relay_revision_, 1);
  PruneRemoved(changed);
  return changed;
}

void item_view::MarkForRelay(std::string_view key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return;
  }
  entry& known = found->second;
  known.relay_revision = known.revision;
  relay_revision_ = std::max(relay_revision_, known.revision);
  if (known.revision <= recent_changes_since_) {
    return;
  }
  recent_changes_.emplace(known.revision, key);
  if (recent_changes_.size() > kMaxRecentChanges) {
    recent_changes_since_ = recent_changes_.begin()->first;
    recent_changes_.erase(recent_changes_.begin());
  }
}

void item_view::PruneRemoved(std::vector<std::string>& changed) {
  if (removed_count_ <= kMaxRemovedItems) {
    return;
  }
  std::vector<revision_number> removed;
  for (const auto& [key, known] : entries_) {
    if (!known.value) {
      removed.push_back(known.revision);
    }
  }
  const auto middle =
      removed.begin() +
      static_cast<std::ptrdiff_t>(removed.size() - kMaxRemovedItems / 2);
  std::nth_element(removed.begin(), middle, removed.end());
  pruned_up_to_ = std::max(pruned_up_to_, *middle);
  std::erase_if(entries_, [&](const auto& item) {
    const auto& [key, known] = item;
    const bool is_pruned = !known.value && known.revision <= pruned_up_to_;
    if (is_pruned) {
      changed.push_back(key);
      --removed_count_;
    }
    return is_pruned;
  });
}

std::vector<item_change> item_view::ListAll() const {
  std::vector<item_change> changes;
  changes.reserve(entries_.size());
  for (const auto& [key, known] : entries_) {
    changes.push_back(MakeChange(key, known));
  }
  return changes;
}

std::vector<item_change> item_view::ListRelayedSince(
    revision_number revision) const {
  std::vector<item_change> changes;
  if (revision < recent_changes_since_) {
    for (const auto& [key, known] : entries_) {
      if (known.relay_revision > revision) {
        changes.push_back(MakeChange(key, known));
      }
    }
    return changes;
  }
  for (auto change = recent_changes_.lower_bound({revision + 1, {}});
       change != recent_changes_.end(); ++change) {
    const auto& [marked_at, key] = *change;
    const auto found = entries_.find(key);
    if (found != entries_.end() && found->second.relay_revision == marked_at) {
      changes.push_back(MakeChange(key, found->second));
    }
  }
  return changes;
}

}  // namespace cuminswitch
