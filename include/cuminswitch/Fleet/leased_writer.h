/// \file
/// Writes items that the store removes after some time.
#ifndef CUMINSWITCH_FLEET_LEASED_WRITER_H_
#define CUMINSWITCH_FLEET_LEASED_WRITER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/item_store.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Writes items under a lease. Items that are written shortly after one another
/// share it.
class leased_writer {
 public:
  struct options {
    /// Minimum time for which an item exists.
    duration lifetime{0};
    /// How long a lease is used for further items.
    duration sharing_time = std::chrono::seconds(5);
  };
  using callback = std::function<void(store_status)>;

  leased_writer(const options& opts, item_store& store)
      : options_(opts), store_(store) {}
  leased_writer(const leased_writer&) = delete;
  leased_writer& operator=(const leased_writer&) = delete;
  ~leased_writer() { *alive_ = false; }

  /// Writes \p value under \p key and calls \p done with the result.
  void Write(time_point now, std::string key, std::string value, callback done);

 private:
  struct pending_write {
    std::string key;
    std::string value;
    callback done;
  };

  void OnLease(time_point requested_at, const store_lease& granted);
  void WriteUnderLease(pending_write write);

  options options_;
  item_store& store_;
  lease_number lease_ = 0;
  time_point leased_at_{};
  /// Writes that wait for a lease.
  std::vector<pending_write> pending_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_LEASED_WRITER_H_
