/// \file
/// Records of recent publications of weights in the store.
#ifndef CUMINSWITCH_FLEET_PUBLICATION_RECORDS_H_
#define CUMINSWITCH_FLEET_PUBLICATION_RECORDS_H_

#include <map>
#include <memory>
#include <span>
#include <string>

#include "cuminswitch/Fleet/item_store.h"
#include "cuminswitch/Protocol/weights_publication.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class event_log;

/// Records in the store that weights were published recently. Daemons read it
/// when they start: after all daemons were killed at once, none of them knows
/// when the weights were published. Each record is under a lease, so that its
/// presence alone bounds the age of the publication, without regard to the
/// hosts' times of day.
class publication_records {
 public:
  struct options {
    /// Prefix of the keys.
    std::string prefix;
    /// Age of a publication at which the lease of its record ends; 0 for no
    /// records.
    duration lifetime{0};
  };

  publication_records(options opts, item_store& store, event_log& log);
  publication_records(const publication_records&) = delete;
  publication_records& operator=(const publication_records&) = delete;
  ~publication_records();

  /// Writes the records of those of \p witnessed that are not among \p stored.
  /// To be called by the leader.
  void OnTick(time_point now,
              std::span<const weights_publication> witnessed,
              std::span<const publication_report> stored);

 private:
  void Write(const weights_publication& item, duration time_left);
  void OnLease(const weights_publication& item, const store_lease& granted);

  options options_;
  item_store& store_;
  event_log& log_;
  /// When each record may be written again, by key.
  std::map<std::string, time_point> next_write_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Encodes the value of a record whose publication is at most `age` old while
/// the record exists.
std::string EncodePublicationRecord(const publication_report& record);
/// Decodes such a value. Throws `std::invalid_argument` if it is malformed.
publication_report ParsePublicationRecord(const std::string& value);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_PUBLICATION_RECORDS_H_
