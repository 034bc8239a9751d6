#include "cuminswitch/Admission/retry_budget.h"

#include <algorithm>

namespace cuminswitch {

retry_budget::retry_budget(const options& opts)
    : options_(opts), burst_(opts.burst) {
  if (opts.started_at) {
    first_unrestricted_ = SlotAt(*opts.started_at + opts.window) + 1;
  }
}

int64_t retry_budget::SlotAt(time_point at) const {
  return at.time_since_epoch() / (options_.window / kSlotsPerWindow);
}

void retry_budget::SetFleetSize(double size) {
  if (options_.is_shared) {
    burst_ = std::min(burst_, options_.burst / std::max(1.0, size));
  }
}

retry_budget::slot& retry_budget::Advance(time_point now) {
  const int64_t current = SlotAt(now);
  const auto count = static_cast<int64_t>(slots_.size());
  const int64_t first_new = std::max(newest_ + 1, current - count + 1);
  for (int64_t number = first_new; number <= current; ++number) {
    slots_[static_cast<size_t>(number % count)] = {};
  }
  newest_ = std::max(newest_, current);
  return slots_[static_cast<size_t>(newest_ % count)];
}

void retry_budget::OnFirstAttempt(time_point now) {
  ++Advance(now).first_attempts;
}

retry_budget::usage retry_budget::Usage() const {
  const auto oldest =
      static_cast<size_t>((newest_ + 1) % static_cast<int64_t>(slots_.size()));
  uint32_t first_attempts = 0;
  uint32_t retries = 0;
  for (size_t i = 0; i < slots_.size(); ++i) {
    // The oldest slot may begin before the window: its retries count, but its
    // first attempts earn nothing.
    first_attempts += i == oldest ? 0 : slots_[i].first_attempts;
    retries += slots_[i].retries;
  }
  const bool is_restricted = newest_ < first_unrestricted_;
  const double share = is_restricted ? options_.start_share : options_.share;
  return {.retries = retries,
          .allowed = (is_restricted ? 0 : burst_) + share * first_attempts};
}

bool retry_budget::CanSpend(time_point now, uint32_t count) {
  Advance(now);
  const usage used = Usage();
  return used.retries + count <= used.allowed;
}

bool retry_budget::TrySpend(time_point now) {
  if (!CanSpend(now)) {
    return false;
  }
  ++Advance(now).retries;
  return true;
}

}  // namespace cuminswitch
