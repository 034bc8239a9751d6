#include "cuminswitch/Fleet/publication_records.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// The store grants no shorter leases.
static constexpr duration kMinLease = std::chrono::seconds(1);
/// Time after which a record is written again whose write failed, or that is
/// not among the stored ones yet.
static constexpr duration kRetryInterval = std::chrono::milliseconds(700);
/// Far beyond the bound of any weights; a larger age would overflow.
static constexpr int64_t kMaxAgeMs = 3'600'000;

publication_records::publication_records(options opts,
                                         item_store& store,
                                         event_log& log)
    : options_(std::move(opts)), store_(store), log_(log) {}

publication_records::~publication_records() {
  *alive_ = false;
}

static bool IsStored(const weights_publication& item,
                     std::span<const publication_report> stored) {
  return std::any_of(stored.begin(), stored.end(), [&](const auto& record) {
    return record.target == item.target && record.version == item.version;
  });
}

static std::string RecordKey(const std::string& prefix,
                             const weights_publication& item) {
  return prefix + ToHex(Hash128(item.target + " " + item.version));
}

void publication_records::OnTick(time_point now,
                                 std::span<const weights_publication> witnessed,
                                 std::span<const publication_report> stored) {
  std::erase_if(next_write_,
                [now](const auto& item) { return now >= item.second; });
  for (const weights_publication& item : witnessed) {
    const duration left = item.since + options_.lifetime - now;
    const std::string key = RecordKey(options_.prefix, item);
    if (left < kMinLease || next_write_.contains(key) ||
        IsStored(item, stored)) {
      continue;
    }
    next_write_[key] = now + kRetryInterval;
    Write(item, left);
  }
}

void publication_records::Write(const weights_publication& item,
                                duration time_left) {
  store_.GrantLease(
      std::chrono::duration_cast<std::chrono::milliseconds>(time_left),
      [this, alive = alive_, item](const store_lease& granted) {
        if (*alive && granted.status == store_status::kDone) {
          OnLease(item, granted);
        }
      });
}

void publication_records::OnLease(const weights_publication& item,
                                  const store_lease& granted) {
  // The lease was granted before its reply arrived.
  const publication_report record{
      .target = item.target,
      .version = item.version,
      .superseded = item.superseded,
      .age = ReadBootClock() - item.since + granted.time_to_live};
  store_.Write({.key = RecordKey(options_.prefix, item),
                .value = EncodePublicationRecord(record),
                .expected = 0,
                .lease = granted.lease},
               [this, alive = alive_, record](const store_write& written) {
                 if (*alive) {
                   log_.Write(log_class::kStateChange,
                              log_line("publication_recorded")
                                  .Add("target", record.target)
                                  .Add("version", record.version)
                                  .Add("superseded", record.superseded)
                                  .Add("until_age_ms", record.age)
                                  .Add("end", ToString(written.status)));
                 }
               });
}

std::string EncodePublicationRecord(const publication_report& record) {
  const auto age =
      std::chrono::ceil<std::chrono::milliseconds>(record.age).count();
  return std::to_string(age) + " " + record.superseded + " " + record.version +
         " " + record.target;
}

publication_report ParsePublicationRecord(const std::string& value) {
  std::istringstream in(value);
  publication_report record;
  int64_t age = -1;
  // Each field ends with one blank, since the versions may be empty.
  in >> age;
  in.get();
  std::getline(in, record.superseded, ' ');
  std::getline(in, record.version, ' ');
  std::getline(in, record.target);
  if (record.target.empty() || age < 0 || age > kMaxAgeMs) {
    throw std::invalid_argument("publication record is malformed: " + value);
  }
  record.age = std::chrono::milliseconds(age);
  return record;
}

}  // namespace cuminswitch
