#include "cuminswitch/Fleet/mixed_service_records.h"

#include <utility>

#include "cuminswitch/Protocol/stream_origin.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// A record outlives its last renewal by at least `kMaxStreamTime`, so that it
/// is valid for as long as streams of that time may be resumed.
static constexpr duration kRecordLifetime = 2 * kMaxStreamTime;
static constexpr duration kRenewalInterval = kMaxStreamTime;
static constexpr duration kRetryInterval = std::chrono::seconds(2);

mixed_service_records::mixed_service_records(std::string prefix,
                                             item_store& store)
    : prefix_(std::move(prefix)), store_(store) {}

mixed_service_records::~mixed_service_records() {
  *alive_ = false;
}

void mixed_service_records::OnTick(time_point now,
                                   std::span<const std::string> services) {
  for (const std::string& service : services) {
    time_point& next = next_write_[service];
    if (now >= next) {
      // Brought forward if the write fails.
      next = now + kRenewalInterval;
      Write(service);
    }
  }
}

void mixed_service_records::Write(const std::string& service) {
  store_.GrantLease(
      std::chrono::duration_cast<std::chrono::milliseconds>(kRecordLifetime),
      [this, alive = alive_, service](const store_lease& granted) {
        if (*alive) {
          OnLease(service, granted);
        }
      });
}

void mixed_service_records::OnLease(const std::string& service,
                                    const store_lease& granted) {
  const auto retry_soon = [this, service] {
    next_write_[service] -= kRenewalInterval - kRetryInterval;
  };
  if (granted.status != store_status::kDone) {
    retry_soon();
    return;
  }
  store_.Write({.key = prefix_ + ToHex(Hash128(service)),
                .value = service,
                .expected = std::nullopt,
                .lease = granted.lease},
               [alive = alive_, retry_soon](const store_write& written) {
                 if (*alive && written.status != store_status::kDone) {
                   retry_soon();
                 }
               });
}

}  // namespace cuminswitch
