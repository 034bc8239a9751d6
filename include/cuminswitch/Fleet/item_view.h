/// \file
/// A daemon's replica of the items in the platform's store.
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

/// A change of one item; no value means that the item was removed.
struct item_change {
  std::string key;
  std::optional<std::string> value;
  /// Store revision of the change; 0 if the item has never changed.
  revision_number revision = 0;
};

/// Items by key, each with its revision. Changes come from the store and from
/// peers, and may arrive late, repeatedly and in any order; the greater
/// revision wins, so that an older change never replaces a newer one.
class item_view {
 public:
  struct entry {
    /// Empty if the item is known to have been removed.
    std::optional<std::string> value;
    revision_number revision = 0;
    /// Revision of the last change marked for relay to peers.
    revision_number relay_revision = 0;
  };
  using entry_map = std::map<std::string, entry, std::less<>>;

  /// Applies the complete list of items as of revision \p at. Items that are
  /// not in the list and not newer than \p at are treated as removed. Returns
  /// the keys of items that changed or were pruned.
  std::vector<std::string> ApplyAll(std::span<const item_change> items,
                                    revision_number at);
  /// Applies changes up to revision \p at; returns keys like `ApplyAll`.
  std::vector<std::string> ApplyChanges(std::span<const item_change> changes,
                                        revision_number at);
  /// Marks the last change of the item \p key for relay to peers. Upstreams
  /// renew their items continually, and most renewals carry no change that
  /// peers need.
  void MarkForRelay(std::string_view key);

  /// All changes up to this revision have been applied.
  revision_number revision() const { return revision_; }
  bool HasRead() const { return revision_ != 0; }
  const entry_map& entries() const { return entries_; }
  /// Revision of the last change marked for relay; 0 only before the first
  /// read.
  revision_number relay_revision() const { return relay_revision_; }
  /// Lists the items with a change marked for relay after \p revision, removed
  /// ones included. Visits only those items if \p revision is recent enough,
  /// otherwise all items.
  std::vector<item_change> ListRelayedSince(revision_number revision) const;
  /// Lists all items, including those known to have been removed.
  std::vector<item_change> ListAll() const;
  /// Whether `ListRelayedSince(revision)` includes every removal since.
  bool HasHistorySince(revision_number revision) const {
    return revision >= pruned_up_to_;
  }

 private:
  bool Apply(const item_change& change);
  /// Drops the oldest records of removed items, and adds the keys of these to
  /// \p changed.
  void PruneRemoved(std::vector<std::string>& changed);

  entry_map entries_;
  size_t removed_count_ = 0;
  revision_number revision_ = 0;
  revision_number relay_revision_ = 0;
  /// The last changes marked for relay, each with its item's key. Elements
  /// whose item has been marked again since are stale.
  std::set<std::pair<revision_number, std::string>> recent_changes_;
  /// All marked changes after this revision are in `recent_changes_`.
  revision_number recent_changes_since_ = 0;
  /// Records of items removed at or before this revision may have been pruned.
  revision_number pruned_up_to_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ITEM_VIEW_H_
