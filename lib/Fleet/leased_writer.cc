#include "cuminswitch/Fleet/leased_writer.h"

#include <utility>

namespace cuminswitch {

void leased_writer::Write(time_point now,
                          std::string key,
                          std::string value,
                          callback done) {
  pending_write write{.key = std::move(key),
                      .value = std::move(value),
                      .done = std::move(done)};
  if (lease_ != 0 && now - leased_at_ < options_.sharing_time) {
    WriteUnderLease(std::move(write));
    return;
  }
  pending_.push_back(std::move(write));
  if (pending_.size() > 1) {
    return;
  }
  store_.GrantLease(std::chrono::duration_cast<std::chrono::milliseconds>(
                        options_.lifetime + options_.sharing_time),
                    [this, alive = alive_, now](const store_lease& granted) {
                      if (*alive) {
                        OnLease(now, granted);
                      }
                    });
}

void leased_writer::OnLease(time_point requested_at,
                            const store_lease& granted) {
  const bool is_granted = granted.status == store_status::kDone;
  lease_ = is_granted ? granted.lease : 0;
  leased_at_ = requested_at;
  for (pending_write& write : std::exchange(pending_, {})) {
    if (is_granted) {
      WriteUnderLease(std::move(write));
    } else {
      write.done(granted.status);
    }
  }
}

void leased_writer::WriteUnderLease(pending_write write) {
  store_.Write({.key = std::move(write.key),
                .value = std::move(write.value),
                .expected = std::nullopt,
                .lease = lease_},
               [this, alive = alive_,
                done = std::move(write.done)](const store_write& written) {
                 if (!*alive) {
                   return;
                 }
                 if (written.status == store_status::kNoLease) {
                   lease_ = 0;
                 }
                 done(written.status);
               });
}

}  // namespace cuminswitch
