/// \file
/// Interface to the platform's key-value store.
#ifndef CUMINSWITCH_FLEET_ITEM_STORE_H_
#define CUMINSWITCH_FLEET_ITEM_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Fleet/item_view.h"
#include "cuminswitch/Protocol/ids.h"

namespace cuminswitch {

/// Status of a call to the store.
enum class store_status : uint8_t {
  kDone,
  /// The store rejected the call without effect, e.g. because it is overloaded
  /// or refuses this daemon.
  kRefused,
  /// No reply, or none that could be decoded: the call may have been executed,
  /// or may still be.
  kUnknown,
  /// A precondition failed; the call had no effect.
  kConflict,
  /// The lease has expired or never existed.
  kNoLease,
  /// The store no longer retains the requested history.
  kHistoryGone,
};

std::string_view ToString(store_status value);

using lease_number = uint64_t;

/// Reply to a read or a watch.
struct store_items {
  store_status status = store_status::kUnknown;
  std::vector<item_change> items;
  /// Store revision that the reply reflects.
  revision_number revision = 0;
};

/// Reply to a lease call.
struct store_lease {
  store_status status = store_status::kUnknown;
  lease_number lease = 0;
  std::chrono::milliseconds time_to_live{0};
};

/// Reply to a write.
struct store_write {
  store_status status = store_status::kUnknown;
  revision_number revision = 0;
};

/// A write of one item that takes effect only if the item's revision is
/// `expected`.
struct conditional_write {
  std::string key;
  std::string value;
  /// Required current revision of the item; 0 requires that the item does not
  /// exist, empty means unconditional.
  std::optional<revision_number> expected;
  /// The store removes the item when this lease ends; 0 for no lease.
  lease_number lease = 0;
};

/// Each call invokes its callback exactly once, from the event loop.
class item_store {
 public:
  virtual ~item_store() = default;
  /// Reads all items in pages. After a failure the next read resumes after the
  /// last page received.
  virtual void ReadAll(std::function<void(store_items)> done) = 0;
  /// Cancels the read in progress, if any; its callback is not invoked.
  virtual void StopReading() = 0;
  /// Waits up to \p wait for changes after revision \p after.
  virtual void Watch(revision_number after,
                     std::chrono::milliseconds wait,
                     std::function<void(store_items)> done) = 0;
  virtual void Write(const conditional_write& write,
                     std::function<void(store_write)> done) = 0;
  virtual void GrantLease(std::chrono::milliseconds time_to_live,
                          std::function<void(store_lease)> done) = 0;
  virtual void KeepLease(lease_number lease,
                         std::function<void(store_lease)> done) = 0;
  virtual void EndLease(lease_number lease) = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ITEM_STORE_H_
