#include "cuminswitch/Edge/stream_origin_table.h"

#include <algorithm>

namespace cuminswitch {

void stream_origin_table::Record(time_point now, const stream_origin& origin) {
  const auto [found, is_new] = origins_.try_emplace(origin.stream);
  entry& item = found->second;
  if (origin.number >= item.number) {
    item.software = origin.software;
    item.number = origin.number;
  }
  item.expires = std::max(item.expires, now + origin.time_left);
  if (!is_new) {
    return;
  }
  order_.push_back(origin.stream);
  if (order_.size() > kMaxOrigins) {
    origins_.erase(order_.front());
    order_.pop_front();
  }
}

void stream_origin_table::RecordOwn(time_point now,
                                    const stream_origin& origin) {
  Record(now, origin);
  origins_.at(origin.stream).is_own = true;
}

bool stream_origin_table::IsFinal(uint64_t stream) const {
  const auto found = origins_.find(stream);
  return found != origins_.end() &&
         (found->second.is_own ||
          found->second.number == stream_origin::kFinal);
}

std::optional<stream_origin> stream_origin_table::Find(time_point now,
                                                       uint64_t stream) const {
  const auto found = origins_.find(stream);
  if (found == origins_.end() || now >= found->second.expires) {
    return std::nullopt;
  }
  const entry& item = found->second;
  return stream_origin{.stream = stream,
                       .software = item.software,
                       .number = item.number,
                       .time_left = item.expires - now};
}

void stream_origin_table::Expire(time_point now) {
  while (!order_.empty()) {
    const auto oldest = origins_.find(order_.front());
    if (now < oldest->second.expires) {
      return;
    }
    origins_.erase(oldest);
    order_.pop_front();
  }
}

}  // namespace cuminswitch
