#include "cuminswitch/Fleet/observed_occupancy.h"

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// An engine's load differs from an older figure by whole responses.
static constexpr duration kFigureLifetime = std::chrono::seconds(1);

void observed_occupancy::Add(
    time_point at,
    std::span<const upstream_observation> observations) {
  for (const upstream_observation& item : observations) {
    if (item.slots == 0) {
      continue;
    }
    figure& known = figures_[item.upstream];
    if (const time_point observed_at = at - item.age; observed_at > known.at) {
      known = {.occupancy =
                   static_cast<double>(uint64_t{item.running} + item.waiting) /
                   item.slots,
               .at = observed_at};
    }
  }
  Expire(at);
}

void observed_occupancy::Expire(time_point now) {
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = now + kFigureLifetime;
  std::erase_if(figures_, [&](const auto& item) {
    return now - item.second.at > kFigureLifetime;
  });
}

std::optional<double> observed_occupancy::OccupancyOf(
    time_point now,
    std::string_view upstream) const {
  const auto found = figures_.find(Hash64(upstream));
  if (found == figures_.end() || now - found->second.at > kFigureLifetime) {
    return std::nullopt;
  }
  return found->second.occupancy;
}

}  // namespace cuminswitch
