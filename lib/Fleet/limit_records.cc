#include "cuminswitch/Fleet/limit_records.h"

#include <algorithm>
#include <utility>

#include "cuminswitch/Log/event_log.h"

namespace cuminswitch {

/// Shortest interval between two writes, and the longest while limits are in
/// force.
static constexpr duration kChangeInterval = std::chrono::milliseconds(500);
static constexpr duration kRenewalInterval = kLimitRecordLifetime / 2;

limit_records::limit_records(std::string key, item_store& store, event_log& log)
    : key_(std::move(key)),
      log_(log),
      writer_({.lifetime = kLimitRecordLifetime}, store) {}

/// Returns \p known in an order that does not depend on changes, without ages.
static limit_record_frame Normalize(limit_record_frame known) {
  for (std::vector<limit_update>* list :
       {&known.limits, &known.rejection_limits}) {
    for (limit_update& item : *list) {
      item.age = duration(0);
    }
    std::sort(list->begin(), list->end(),
              [](const limit_update& a, const limit_update& b) {
                return a.upstream < b.upstream;
              });
  }
  return known;
}

void limit_records::OnTick(time_point now, const limit_record_frame& known) {
  if (known.IsEmpty() && written_.empty()) {
    return;
  }
  std::string value = EncodePeerFrame(Normalize(known));
  const bool has_changed = value != written_ && now >= next_change_;
  if (!has_changed && (known.IsEmpty() || now < next_renewal_)) {
    return;
  }
  next_change_ = now + kChangeInterval;
  next_renewal_ = now + kRenewalInterval;
  written_ = known.IsEmpty() ? std::string() : value;
  const size_t count = known.limits.size() + known.rejection_limits.size();
  writer_.Write(
      now, key_, std::move(value), [this, count](store_status status) {
        log_.Write(log_class::kStateChange, log_line("limits_recorded")
                                                .Add("count", count)
                                                .Add("end", ToString(status)));
        if (status != store_status::kDone) {
          next_renewal_ = next_change_;
        }
      });
}

}  // namespace cuminswitch
