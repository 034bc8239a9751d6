/// \file
/// A daemon's copy of the items that the platform's store holds.
#ifndef CUMINSWITCH_FLEET_ITEM_VIEW_H_
#define CUMINSWITCH_FLEET_ITEM_VIEW_H_

#include <map>
#include <optional>
#include <span>
#include <string>
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
  };
  using entry_map = std::map<std::string, entry, std::less<>>;

  /// Takes in all items as of revision \p at. What is not among them and is
  /// not newer than \p at is gone. Returns whether anything changed.
  bool ApplyAll(std::span<const item_change> items, revision_number at);
  /// Takes in changes up to revision \p at.
  bool ApplyChanges(std::span<const item_change> changes, revision_number at);

  /// Everything up to this revision is in the view.
  revision_number revision() const { return revision_; }
  bool HasRead() const { return revision_ != 0; }
  const entry_map& entries() const { return entries_; }
  /// Lists the items that exist, and those that went, newer than \p revision.
  std::vector<item_change> ListNewerThan(revision_number revision) const;
  /// Whether `ListNewerThan(revision)` also tells of all items that went.
  bool RemembersSince(revision_number revision) const {
    return revision >= forgotten_;
  }

 private:
  bool Apply(const item_change& change);
  /// Drops the oldest memories of items that went.
  void Forget();

  entry_map entries_;
  revision_number revision_ = 0;
  /// Items that went at or before this revision may be forgotten.
  revision_number forgotten_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ITEM_VIEW_H_
