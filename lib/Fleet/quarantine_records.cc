#include "cuminswitch/Fleet/quarantine_records.h"

#include <algorithm>
#include <utility>

namespace cuminswitch {

/// Time after which a request is written again whose write failed, or is not
/// among the stored ones yet.
static constexpr duration kRetryInterval = std::chrono::seconds(2);

quarantine_records::quarantine_records(options opts, item_store& store)
    : options_(std::move(opts)), store_(store) {}

quarantine_records::~quarantine_records() {
  *alive_ = false;
}

void quarantine_records::OnTick(time_point now,
                                std::span<const quarantine_record> wanted,
                                std::span<const hash128> stored) {
  std::erase_if(next_write_,
                [now](const auto& item) { return now >= item.second; });
  RemoveUnwanted(now, wanted, stored);
  if (is_writing_) {
    return;
  }
  const auto missing =
      std::find_if(wanted.begin(), wanted.end(), [&](const auto& item) {
        return !next_write_.contains(item.request) &&
               std::find(stored.begin(), stored.end(), item.request) ==
                   stored.end();
      });
  if (missing != wanted.end()) {
    next_write_[missing->request] = now + kRetryInterval;
    Write(missing->request, missing->time_left);
  }
}

void quarantine_records::RemoveUnwanted(
    time_point now,
    std::span<const quarantine_record> wanted,
    std::span<const hash128> stored) {
  const auto is_wanted = [&](const hash128& request) {
    return std::any_of(wanted.begin(), wanted.end(), [&](const auto& record) {
      return record.request == request;
    });
  };
  std::erase_if(leases_, [&](const auto& item) {
    const auto& [request, lease] = item;
    if (is_wanted(request) || next_write_.contains(request)) {
      return false;
    }
    if (std::find(stored.begin(), stored.end(), request) == stored.end()) {
      return true;
    }
    next_write_[request] = now + kRetryInterval;
    store_.EndLease(lease);
    return false;
  });
}

void quarantine_records::Write(const hash128& request, duration time_left) {
  is_writing_ = true;
  store_.GrantLease(
      std::chrono::duration_cast<std::chrono::milliseconds>(time_left),
      [this, alive = alive_, request](const store_lease& granted) {
        if (*alive) {
          OnLease(request, granted);
        }
      });
}

void quarantine_records::OnLease(const hash128& request,
                                 const store_lease& granted) {
  if (granted.status != store_status::kDone) {
    is_writing_ = false;
    return;
  }
  store_.Write({.key = options_.prefix + ToHex(request),
                .value = options_.author,
                .expected = 0,
                .lease = granted.lease},
               [this, alive = alive_, request,
                lease = granted.lease](const store_write& written) {
                 if (!*alive) {
                   return;
                 }
                 is_writing_ = false;
                 if (written.status == store_status::kConflict) {
                   // Another daemon has written it.
                   store_.EndLease(lease);
                 } else {
                   leases_[request] = lease;
                 }
               });
}

}  // namespace cuminswitch
