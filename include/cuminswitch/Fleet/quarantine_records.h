/// \file
/// Records of quarantined requests in the store.
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
/// its quarantine. Daemons read them when they start: after all daemons were
/// killed at once, there is no peer that could report them.
class quarantine_records {
 public:
  struct options {
    /// Prefix of the keys; the request's digest in hexadecimal follows it.
    std::string prefix;
    /// The value of the entries: who wrote them, for operators who read the
    /// store.
    std::string author;
  };

  quarantine_records(options opts, item_store& store);
  quarantine_records(const quarantine_records&) = delete;
  quarantine_records& operator=(const quarantine_records&) = delete;
  ~quarantine_records();

  /// Starts writing the first of \p wanted that is not among \p stored, if
  /// there is one and no other write is in progress. Removes this daemon's
  /// records that are not wanted any more.
  void OnTick(time_point now,
              std::span<const quarantine_record> wanted,
              std::span<const hash128> stored);

 private:
  void RemoveUnwanted(time_point now,
                      std::span<const quarantine_record> wanted,
                      std::span<const hash128> stored);
  void Write(const hash128& request, duration time_left);
  void OnLease(const hash128& request, const store_lease& granted);

  options options_;
  item_store& store_;
  /// When each request may be written again: a written one appears among the
  /// stored ones only some time later.
  std::map<hash128, time_point> next_write_;
  /// Leases of the records that this daemon wrote.
  std::map<hash128, lease_number> leases_;
  bool is_writing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_QUARANTINE_RECORDS_H_
