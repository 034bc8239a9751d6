#include "cuminswitch/Fleet/origin_records.h"

#include <algorithm>
#include <utility>

#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Log/event_log.h"

namespace cuminswitch {

/// Origins in one item, whose size the store limits; the others wait.
static constexpr size_t kMaxBatch = 2'000;
/// Origins that wait while the store accepts nothing; the oldest are dropped.
static constexpr size_t kMaxPending = 20'000;

origin_records::origin_records(std::string prefix,
                               item_store& store,
                               event_log& log)
    : prefix_(std::move(prefix)),
      log_(log),
      writer_({.lifetime = kMaxStreamTime}, store) {}

void origin_records::Add(std::span<const stream_origin> origins) {
  pending_.insert(pending_.end(), origins.begin(), origins.end());
  if (pending_.size() > kMaxPending) {
    pending_.erase(pending_.begin(),
                   pending_.end() - static_cast<ptrdiff_t>(kMaxPending));
  }
}

void origin_records::OnTick(time_point now) {
  if (pending_.empty() || is_writing_ || now < next_write_) {
    return;
  }
  next_write_ = now + kInterval;
  const auto end = pending_.begin() +
                   static_cast<ptrdiff_t>(std::min(kMaxBatch, pending_.size()));
  origin_record_frame batch{.origins = {pending_.begin(), end}};
  pending_.erase(pending_.begin(), end);
  std::string value = EncodePeerFrame(batch);
  is_writing_ = true;
  writer_.Write(
      now, prefix_ + std::to_string(next_number_++), std::move(value),
      [this, origins = std::move(batch.origins)](store_status status) {
        is_writing_ = false;
        log_.Write(log_class::kStateChange, log_line("origins_recorded")
                                                .Add("count", origins.size())
                                                .Add("end", ToString(status)));
        // A write without a reply may have been lost.
        if (status != store_status::kDone) {
          pending_.insert(pending_.begin(), origins.begin(), origins.end());
        }
      });
}

}  // namespace cuminswitch
