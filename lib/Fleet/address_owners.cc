#include "cuminswitch/Fleet/address_owners.h"

#include <map>
#include <tuple>

namespace cuminswitch {

/// Whether \p a began after \p b. Their own times come first: an entry's
/// revision also grows when its upstream only says that it leaves.
static bool IsLater(const upstream_entry& a, const upstream_entry& b) {
  if (a.started != 0 && b.started != 0 && a.started != b.started) {
    return a.started > b.started;
  }
  return std::tie(a.revision, a.id) > std::tie(b.revision, b.id);
}

void address_owners::DropReplaced(fleet_knowledge& next) {
  std::map<endpoint, const upstream_entry*> owners;
  std::set<upstream_start> still_replaced;
  for (const upstream_entry& entry : next.upstreams) {
    if (replaced_.contains({entry.id, entry.started})) {
      still_replaced.emplace(entry.id, entry.started);
      continue;
    }
    const upstream_entry*& owner = owners[entry.address];
    if (owner == nullptr) {
      owner = &entry;
      continue;
    }
    const upstream_entry* replaced = &entry;
    if (IsLater(entry, *owner)) {
      std::swap(replaced, owner);
    }
    still_replaced.emplace(replaced->id, replaced->started);
  }
  replaced_ = std::move(still_replaced);
  std::erase_if(next.upstreams, [this](const upstream_entry& entry) {
    return replaced_.contains({entry.id, entry.started});
  });
}

}  // namespace cuminswitch
