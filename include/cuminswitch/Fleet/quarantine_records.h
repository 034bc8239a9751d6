/// \file
/// The store's list of requests that are kept away from upstreams.
#ifndef CUMINSWITCH_FLEET_QUARANTINE_RECORDS_H_
#define CUMINSWITCH_FLEET_QUARANTINE_RECORDS_H_

#include <map>
#include <memory>
#include <span>
#include <string>

#include "cuminswitch/Fleet/fleet_message.h"
#include "cuminswitch/Fleet/item_store.h"

namespace cuminswitch {

/// Writes quarantined requests to the store, each under a lease that ends with
/// its quarantine. Daemons that start learn them from there; where all were
/// killed at once, nobody else could tell them.
class quarantine_records {
 public:
  struct options {
    /// Keys are this and the request's digest.
    std::string prefix;
    /// The value, for who reads the store.
    std::string author;
  };

  quarantine_records(options opts, item_store& store);
  quarantine_records(const quarantine_records&) = delete;
  quarantine_records& operator=(const quarantine_records&) = delete;
  ~quarantine_records();

  /// Begins to write one of \p wanted that is not among \p stored, if any.
  void OnTick(time_point now,
              std::span<const quarantine_record> wanted,
              std::span<const hash128> stored);

 private:
  void Write(const hash128& request, duration time_left);
  void OnLease(const hash128& request, const store_lease& answer);

  options options_;
  item_store& store_;
  /// When each may be written again: the list lags behind the write.
  std::map<hash128, time_point> next_write_;
  bool is_calling_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_QUARANTINE_RECORDS_H_
