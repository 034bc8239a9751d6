/// \file
/// The platform's store, as the product needs it.
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

/// How a call to the store ended.
enum class store_status : uint8_t {
  kDone,
  /// The store did nothing: it is overloaded or turns this daemon away.
  kRefused,
  /// No answer, or none that could be read: the call may have been carried
  /// out, or may still be.
  kUnknown,
  /// A condition did not hold; nothing was done.
  kConflict,
  /// The lease has ended, or never was.
  kNoLease,
  /// The history that was asked for is not kept any more.
  kHistoryGone,
};

std::string_view ToString(store_status value);

using lease_number = uint64_t;

/// The answer to a read or a watch.
struct store_items {
  store_status status = store_status::kUnknown;
  std::vector<item_change> items;
  /// The store's revision that the answer is as of.
  revision_number revision = 0;
};

/// The answer to a lease call.
struct store_lease {
  store_status status = store_status::kUnknown;
  lease_number lease = 0;
  std::chrono::milliseconds time_to_live{0};
};

/// The answer to a write.
struct store_write {
  store_status status = store_status::kUnknown;
  revision_number revision = 0;
};

/// A write of one item under the condition that it is as \p expected says.
struct conditional_write {
  std::string key;
  std::string value;
  /// Write only while the item's revision is this, 0 meaning that it does not
  /// exist; no condition when empty.
  std::optional<revision_number> expected;
  /// The item goes when this lease ends; 0 for none.
  lease_number lease = 0;
};

/// Calls end in one callback each, from the event loop.
class item_store {
 public:
  virtual ~item_store() = default;
  /// Reads all items, in as many pages as it takes. After a failure the next
  /// read goes on behind the last page that came.
  virtual void ReadAll(std::function<void(store_items)> done) = 0;
  /// Gives up the read that is under way, if any; its callback does not come.
  virtual void StopReading() = 0;
  /// Waits for changes after \p after, at most for \p wait.
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
