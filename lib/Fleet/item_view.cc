#include "cuminswitch/Fleet/item_view.h"

#include <algorithm>
#include <set>

namespace cuminswitch {

/// Memories kept of items that went. A release replaces a few dozen upstreams;
/// a peer that is further behind gets everything instead.
static constexpr size_t kMaxGoneItems = 512;

bool item_view::Apply(const item_change& change) {
  entry& known = entries_[change.key];
  if (change.revision <= known.revision && known.revision != 0) {
    return false;
  }
  known = {.value = change.value, .revision = change.revision};
  return true;
}

bool item_view::ApplyAll(std::span<const item_change> items,
                         revision_number at) {
  bool has_changed = false;
  std::set<std::string_view> listed;
  for (const item_change& item : items) {
    has_changed = Apply(item) || has_changed;
    listed.insert(item.key);
  }
  for (auto& [key, known] : entries_) {
    if (known.value && known.revision <= at && !listed.contains(key)) {
      known = {.value = std::nullopt, .revision = at};
      has_changed = true;
    }
  }
  revision_ = std::max(revision_, at);
  Forget();
  return has_changed;
}

bool item_view::ApplyChanges(std::span<const item_change> changes,
                             revision_number at) {
  bool has_changed = false;
  for (const item_change& change : changes) {
    has_changed = Apply(change) || has_changed;
  }
  revision_ = std::max(revision_, at);
  Forget();
  return has_changed;
}

void item_view::Forget() {
  std::vector<revision_number> gone;
  for (const auto& [key, known] : entries_) {
    if (!known.value) {
      gone.push_back(known.revision);
    }
  }
  if (gone.size() <= kMaxGoneItems) {
    return;
  }
  const auto middle = gone.begin() + static_cast<std::ptrdiff_t>(
                                         gone.size() - kMaxGoneItems / 2);
  std::nth_element(gone.begin(), middle, gone.end());
  forgotten_ = std::max(forgotten_, *middle);
  std::erase_if(entries_, [this](const auto& item) {
    return !item.second.value && item.second.revision <= forgotten_;
  });
}

std::vector<item_change> item_view::ListNewerThan(
    revision_number revision) const {
  std::vector<item_change> changes;
  for (const auto& [key, known] : entries_) {
    if (known.revision > revision) {
      changes.push_back(
          {.key = key, .value = known.value, .revision = known.revision});
    }
  }
  return changes;
}

}  // namespace cuminswitch
