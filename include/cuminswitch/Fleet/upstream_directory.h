/// \file
/// The upstreams that may be used.
#ifndef CUMINSWITCH_FLEET_UPSTREAM_DIRECTORY_H_
#define CUMINSWITCH_FLEET_UPSTREAM_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cuminswitch/Fleet/fleet_snapshot.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

struct recovery_window;

/// What changed of one upstream in use.
struct upstream_change {
  std::string id;
  /// Null where it was not in use, or is not any more.
  upstream_ref before;
  upstream_ref after;
};

/// An upstream that the store does not list begins to be kept in use, or
/// ceases.
struct retained_change {
  std::string id;
  /// The store's revision of its removal.
  revision_number revision = 0;
  bool is_retained = false;
};

/// Decides which of the listed upstreams are used. Each call costs what it
/// changes, whatever the number of upstreams.
///
/// An entry that goes missing may be kept for a moment, where the store has
/// been away and has not heard its upstreams. An upstream whose address another
/// one has taken is left out: one that crashes comes back under a new id at its
/// old address, or another service gets that address, seconds before the store
/// drops the entry of the one that crashed. Requests for the old id are all
/// turned away there. One process listens at an address, so of several entries
/// only the one that came last can be true.
class upstream_directory {
 public:
  /// Takes in what the store says of an upstream. An entry that goes missing is
  /// kept where \p window says that it may have lapsed.
  void Apply(time_point now,
             const upstream_entry_update& news,
             const recovery_window& window);
  /// Drops entries that were kept, and have not lapsed by what is known now.
  void Expire(time_point now, const recovery_window& window);
  bool HasRetained() const { return !retained_.empty(); }

  /// Returns what changed since the last call.
  std::vector<upstream_change> TakeChanges();
  /// Returns what changed since the last call of upstreams that are kept though
  /// the store does not list them.
  std::vector<retained_change> TakeRetainedChanges() {
    return std::exchange(retained_changes_, {});
  }
  /// Grows with each change.
  uint64_t version() const { return version_; }

  /// The upstream \p id; null where it is not in use.
  upstream_ref Find(std::string_view id) const;
  /// All upstreams in use, in the order of their ids.
  std::vector<upstream_ref> List() const;
  /// Upstreams of \p service in use.
  size_t CountOf(std::string_view service) const;
  size_t size() const { return in_use_count_; }
  /// Listed upstreams whose entries cannot be read.
  size_t unreadable_count() const { return unreadable_.size(); }

 private:
  struct state {
    upstream_ref entry;
    /// Another one has taken its address. It stays so for this start, whatever
    /// a late write says, until the entry is gone.
    bool is_replaced = false;
    /// Of its removal, where it is kept though the store does not list it.
    revision_number removed_at = 0;
  };
  struct address_hash {
    size_t operator()(const endpoint& address) const;
  };

  void Put(const upstream_ref& entry);
  void Remove(const std::string& id);
  /// \p id is kept no longer; nothing happens where it was not.
  void EndRetention(const std::string& id);
  /// Notes that \p id was \p before until now.
  void RecordChange(const std::string& id, const upstream_ref& before);
  /// \p item begins to be in use, or ceases.
  void Activate(const upstream_ref& item);
  void Deactivate(const upstream_ref& item);

  std::map<std::string, state, std::less<>> states_;
  /// Who listens at each address, among those in use.
  std::unordered_map<endpoint, upstream_ref, address_hash> active_by_address_;
  std::map<std::string, size_t, std::less<>> service_sizes_;
  std::set<std::string, std::less<>> unreadable_;
  std::set<std::string, std::less<>> retained_;
  std::vector<retained_change> retained_changes_;
  /// No kept entry was removed after this revision.
  revision_number last_retained_removal_ = 0;
  /// What upstreams with changes were at the last `TakeChanges`.
  std::map<std::string, upstream_ref> changed_;
  size_t in_use_count_ = 0;
  uint64_t version_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_UPSTREAM_DIRECTORY_H_
