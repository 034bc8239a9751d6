/// \file
/// A daemon's copy of the items that the platform's store holds.
#ifndef CUMINSWITCH_FLEET_ITEM_VIEW_H_
#define CUMINSWITCH_FLEET_ITEM_VIEW_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cuminswitch/Protocol/ids.h"

namespace cuminswitch {

/// A change of one item. Without a value the item is gone.
struct item_change {
  std::string key;
  std::optional<std::string> value;
  /// The store's revision of the change; 0 while the item was never changed.
  revision_number revision = 0;
};

/// Items by key, each with the revision that it is from. Changes may come from
/// the store and from peers, late, twice and in any order; the greater revision
/// wins, so nothing older ever replaces anything newer.
class item_view {
 public:
  struct entry {
    /// Nothing where the item is known to be gone.
    std::optional<std::string> value;
    revision_number revision = 0;
    /// The last change that peers are told of.
    revision_number relay_revision = 0;
  };
  using entry_map = std::map<std::string, entry, std::less<>>;

  /// Takes in all items as of revision \p at. What is not among them and is
  /// not newer than \p at is gone. Returns the keys of items that changed, or
  /// that are forgotten.
  std::vector<std::string> ApplyAll(std::span<const item_change> items,
                                    revision_number at);
  /// Takes in changes up to revision \p at; returns keys like `ApplyAll`.
  std::vector<std::string> ApplyChanges(std::span<const item_change> changes,
                                        revision_number at);
  /// The last change of the item under \p key is worth telling. Upstreams renew
  /// their items all the time, and say nothing new by most of it.
  void MarkForRelay(std::string_view key);

  /// Everything up to this revision is in the view.
  revision_number revision() const { return revision_; }
  bool HasRead() const { return revision_ != 0; }
  const entry_map& entries() const { return entries_; }
  /// The revision of the last news; 0 before the first read, and never
  /// afterwards.
  revision_number relay_revision() const { return relay_revision_; }
  /// Lists the items with news after \p revision, gone ones included. Visits
  /// only these while \p revision is among the last news.
  std::vector<item_change> ListRelayedSince(revision_number revision) const;
  /// Lists all items, and those that are known to be gone.
  std::vector<item_change> ListAll() const;
  /// Whether `ListRelayedSince(revision)` also tells of all items that went.
  bool HasHistorySince(revision_number revision) const {
    return revision >= pruned_up_to_;
  }

 private:
  bool Apply(const item_change& change);
  /// Drops the oldest memories of items that went, and adds their keys to
  /// \p changed.
  void PruneRemoved(std::vector<std::string>& changed);

  entry_map entries_;
  size_t removed_count_ = 0;
  revision_number revision_ = 0;
  revision_number relay_revision_ = 0;
  /// The last news, each with its item's key. Those whose item has changed
  /// since are stale.
  std::set<std::pair<revision_number, std::string>> recent_changes_;
  /// All news after this are in `recent_changes_`.
  revision_number recent_changes_since_ = 0;
  /// Items that went at or before this revision may be forgotten.
  revision_number pruned_up_to_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ITEM_VIEW_H_
