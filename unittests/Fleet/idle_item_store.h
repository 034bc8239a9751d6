/// \file
/// An item store that never replies.
#ifndef CUMINSWITCH_UNITTESTS_FLEET_IDLE_ITEM_STORE_H_
#define CUMINSWITCH_UNITTESTS_FLEET_IDLE_ITEM_STORE_H_

#include <functional>

#include "cuminswitch/Fleet/item_store.h"

namespace cuminswitch {

/// Accepts all calls and never invokes their callbacks. Tests override the
/// calls that they need.
class idle_item_store : public item_store {
 public:
  void ReadAll(std::function<void(store_items)> /*done*/) override {}
  void StopReading() override {}
  void Watch(revision_number /*after*/,
             std::chrono::milliseconds /*wait*/,
             std::function<void(store_items)> /*done*/) override {}
  void Write(const conditional_write& /*write*/,
             std::function<void(store_write)> /*done*/) override {}
  void GrantLease(std::chrono::milliseconds /*time_to_live*/,
                  std::function<void(store_lease)> /*done*/) override {}
  void KeepLease(lease_number /*lease*/,
                 std::function<void(store_lease)> /*done*/) override {}
  void EndLease(lease_number /*lease*/) override {}
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UNITTESTS_FLEET_IDLE_ITEM_STORE_H_
