/// \file
/// Records, in the store, of services with several software versions.
#ifndef CUMINSWITCH_FLEET_MIXED_SERVICE_RECORDS_H_
#define CUMINSWITCH_FLEET_MIXED_SERVICE_RECORDS_H_

#include <map>
#include <memory>
#include <span>
#include <string>

#include "cuminswitch/Fleet/item_store.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Records in the store which services have or recently had upstreams of
/// several software versions. Daemons read it when they start: after all
/// daemons were killed at once, none of them knows which versions have gone.
/// Each record is under a lease and renewed by the leader.
class mixed_service_records {
 public:
  /// \p prefix is the prefix of the keys.
  mixed_service_records(std::string prefix, item_store& store);
  mixed_service_records(const mixed_service_records&) = delete;
  mixed_service_records& operator=(const mixed_service_records&) = delete;
  ~mixed_service_records();

  /// Writes the record of each of \p services that is due. To be called by the
  /// leader.
  void OnTick(time_point now, std::span<const std::string> services);

 private:
  void Write(const std::string& service);
  void OnLease(const std::string& service, const store_lease& granted);

  std::string prefix_;
  item_store& store_;
  /// When each record is to be written again, by service.
  std::map<std::string, time_point> next_write_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_MIXED_SERVICE_RECORDS_H_
