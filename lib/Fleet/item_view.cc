#include "cuminswitch/Fleet/item_view.h"

#include <algorithm>
#include <set>

namespace cuminswitch {

/// Memories kept of items that went. A release replaces a few dozen upstreams;
/// a peer that is further behind gets everything instead.
static constexpr size_t kMaxGoneItems = 512;
/// News that are found without a walk over all items. A thousand upstreams that
/// crash and return make twice as many.
static constexpr size_t kMaxRecentNews = 4096;

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
  const bool was_gone = !is_new && !known.value;
  gone_count_ += (change.value ? 0 : 1) - (was_gone ? 1 : 0);
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
      ++gone_count_;
      changed.push_back(key);
    }
  }
  if (!HasRead()) {
    // What went before the first list is not in it.
    forgotten_ = std::max(forgotten_, at);
  }
  revision_ = std::max(revision_, at);
  news_revision_ = std::max<revision_number>(news_revision_, 1);
  Forget(changed);
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
  news_revision_ = std::max<revision_number>(news_revision_, 1);
  Forget(changed);
  return changed;
}

void item_view::MarkForRelay(std::string_view key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return;
  }
  entry& known = found->second;
  known.relay_revision = known.revision;
  news_revision_ = std::max(news_revision_, known.revision);
  if (known.revision <= recent_since_) {
    return;
  }
  recent_.emplace(known.revision, key);
  if (recent_.size() > kMaxRecentNews) {
    recent_since_ = recent_.begin()->first;
    recent_.erase(recent_.begin());
  }
}

void item_view::Forget(std::vector<std::string>& changed) {
  if (gone_count_ <= kMaxGoneItems) {
    return;
  }
  std::vector<revision_number> gone;
  for (const auto& [key, known] : entries_) {
    if (!known.value) {
      gone.push_back(known.revision);
    }
  }
  const auto middle = gone.begin() + static_cast<std::ptrdiff_t>(
                                         gone.size() - kMaxGoneItems / 2);
  std::nth_element(gone.begin(), middle, gone.end());
  forgotten_ = std::max(forgotten_, *middle);
  std::erase_if(entries_, [&](const auto& item) {
    const auto& [key, known] = item;
    const bool is_forgotten = !known.value && known.revision <= forgotten_;
    if (is_forgotten) {
      changed.push_back(key);
      --gone_count_;
    }
    return is_forgotten;
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
  if (revision < recent_since_) {
    for (const auto& [key, known] : entries_) {
      if (known.relay_revision > revision) {
        changes.push_back(MakeChange(key, known));
      }
    }
    return changes;
  }
  for (auto news = recent_.lower_bound({revision + 1, {}});
       news != recent_.end(); ++news) {
    const auto& [told, key] = *news;
    const auto found = entries_.find(key);
    if (found != entries_.end() && found->second.relay_revision == told) {
      changes.push_back(MakeChange(key, found->second));
    }
  }
  return changes;
}

}  // namespace cuminswitch
