/// \file
/// Directory of the upstreams in use.
#ifndef CUMINSWITCH_FLEET_UPSTREAM_DIRECTORY_H_
#define CUMINSWITCH_FLEET_UPSTREAM_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
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

/// Change of one upstream in use.
struct upstream_change {
  std::string id;
  /// Null if the upstream was not in use before, or is not in use after the
  /// change.
  upstream_ref before;
  upstream_ref after;
};

/// Start or end of the retention of an upstream that the store no longer lists.
struct retained_change {
  std::string id;
  /// Store revision of its removal.
  revision_number revision = 0;
  bool is_retained = false;
};

/// Decides which of the listed upstreams are used. The cost of each call
/// depends on the number of changes, not on the number of upstreams.
///
/// A removed entry may be retained for a short time after a store outage, in
/// which the store received no heartbeats of upstreams. An upstream whose
/// address now belongs to another one is not used: a crashed upstream restarts
/// with a new id at its old address, or another service gets that address,
/// seconds before the store drops the entry of the crashed one, and requests
/// for the old id are all rejected there. Only one process listens at an
/// address, so of several entries with the same address only that of the latest
/// start is valid. Where start times are unknown, the start that was listed
/// later is the later one; a removed entry keeps its place in that order, since
/// a delayed heartbeat may list it again.
///
/// An entry may also be wrong about its address or its start, which shows when
/// the process at the address rejects requests for it. Then another entry with
/// this address is used.
class upstream_directory {
 public:
  /// Applies a change of an upstream's store entry. A removed entry is retained
  /// if it may have expired during a store outage according to \p window.
  void Apply(time_point now,
             const upstream_entry_update& update,
             const recovery_window& window);
  /// Drops retained entries that \p window no longer covers.
  void Expire(time_point now, const recovery_window& window);
  bool HasRetained() const { return !retained_.empty(); }
  /// Records that the process at the address of \p id, which started at
  /// \p started, rejected a request for it as meant for another process.
  /// Returns whether another entry is used at the address now.
  bool Refute(time_point now, std::string_view id, uint64_t started);
  /// Puts entries into use that are still listed although they seemed to have
  /// ended: the store would have dropped them without heartbeats.
  void RestoreListed(time_point now);

  /// Returns the changes since the last call.
  std::vector<upstream_change> TakeChanges();
  /// Returns the retentions that started or ended since the last call.
  std::vector<retained_change> TakeRetainedChanges() {
    return std::exchange(retained_changes_, {});
  }
  /// Returns the upstreams that came into use since the last call at an
  /// address that other entries claim too.
  std::vector<upstream_ref> TakeContested() {
    return std::exchange(contested_, {});
  }
  /// Increases with each change.
  uint64_t version() const { return version_; }

  /// Returns the upstream \p id, or null if it is not in use.
  upstream_ref Find(std::string_view id) const;
  /// Returns all upstreams in use, ordered by id.
  std::vector<upstream_ref> List() const;
  /// Number of upstreams of \p service in use.
  size_t CountOf(std::string_view service) const;
  size_t size() const { return in_use_count_; }
  /// Number of listed upstreams whose entries cannot be decoded.
  size_t unreadable_count() const { return unreadable_.size(); }

 private:
  struct state {
    upstream_ref entry;
    /// Store revision at which this start was first listed.
    revision_number first_revision = 0;
    /// A later start has taken over the address.
    bool is_replaced = false;
    time_point replaced_at{};
    /// When the process at the address last rejected a request for it.
    std::optional<time_point> refuted_at;
    /// Store revision of the removal if the entry is retained.
    revision_number removed_at = 0;
  };
  struct address_hash {
    size_t operator()(const endpoint& address) const;
  };
  /// A start whose entry was removed.
  struct departed_start {
    revision_number first_revision = 0;
    uint64_t started = 0;
    time_point forget_at{};
  };

  /// Whether \p a started after \p b.
  static bool StartedLater(const state& a, const state& b);

  void Put(time_point now, const upstream_ref& entry);
  void Remove(time_point now, const std::string& id);
  /// Returns the revision at which the start of \p entry was first listed.
  revision_number FirstRevision(time_point now,
                                const upstream_entry& entry) const;
  /// Records that the start of \p removed is no longer listed.
  void RecordDeparture(time_point now, const state& removed);
  /// Takes \p item, which another entry replaces, out of use.
  void Replace(time_point now, state& item);
  /// Puts \p item, which was replaced, into use.
  void Restore(state& item);
  /// Whether \p a is to be used rather than \p b at the address of both.
  static bool IsPreferred(const state& a, const state& b);
  /// Removes \p item from those that are replaced.
  void ForgetReplaced(const upstream_entry& item);
  /// Puts the latest start that \p removed, the entry in use, had replaced into
  /// use, unless it certainly ended before.
  void RestoreReplaced(time_point now, const upstream_entry& removed);
  /// Ends the retention of \p id, if it is retained.
  void EndRetention(const std::string& id);
  /// Records that \p before was the entry of \p id until now.
  void RecordChange(const std::string& id, const upstream_ref& before);
  /// Puts \p item into use, or takes it out of use.
  void Activate(const upstream_ref& item);
  void Deactivate(const upstream_ref& item);

  std::map<std::string, state, std::less<>> states_;
  /// The upstream in use at each address.
  std::unordered_map<endpoint, upstream_ref, address_hash> active_by_address_;
  /// Ids of the replaced upstreams at each address.
  std::unordered_map<endpoint, std::set<std::string>, address_hash>
      replaced_by_address_;
  /// Addresses whose entries are all out of use, though some are listed.
  std::set<endpoint> vacant_;
  /// Starts that a delayed heartbeat may list again, by id, and their ids in
  /// the order of their removal.
  std::map<std::string, departed_start, std::less<>> departed_;
  std::deque<std::pair<time_point, std::string>> departures_;
  std::map<std::string, size_t, std::less<>> service_sizes_;
  std::set<std::string, std::less<>> unreadable_;
  std::set<std::string, std::less<>> retained_;
  std::vector<retained_change> retained_changes_;
  std::vector<upstream_ref> contested_;
  /// No retained entry was removed after this revision.
  revision_number last_retained_removal_ = 0;
  /// Entries of changed upstreams as of the last `TakeChanges`, by id; null for
  /// those not in use then.
  std::map<std::string, upstream_ref> changed_;
  size_t in_use_count_ = 0;
  uint64_t version_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_UPSTREAM_DIRECTORY_H_
