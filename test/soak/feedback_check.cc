#include "soak/feedback_check.h"

#include <algorithm>

namespace cuminswitch::soak {

/// Time after the feedback during which requests sent earlier may still arrive.
static constexpr std::chrono::milliseconds kInFlightTime{500};
/// Requests of one daemon that one backoff period may see without a violation.
static constexpr int kMaxArrivalsInBackoff = 2;
/// Time from a forwarded response with the announcement until the daemon must
/// send the leaving upstream no requests.
static constexpr std::chrono::milliseconds kDrainTime{2'000};

std::optional<std::string> feedback_check::OnBackoffRequested(
    const feedback_arrival& item,
    std::chrono::milliseconds backoff) {
  ++counted_;
  std::vector<backoff_period>& periods =
      backoffs_[{item.daemon, item.upstream}];
  std::optional<std::string> wrong;
  for (backoff_period& period : periods) {
    if (period.from > item.undisturbed_since &&
        item.at > period.from + kInFlightTime && item.at < period.until &&
        ++period.arrivals > kMaxArrivalsInBackoff) {
      wrong = item.upstream + " got " + std::to_string(period.arrivals) +
              " requests of " + item.daemon.ToString() + " during its backoff";
    }
  }
  periods.push_back({.from = item.at, .until = item.at + backoff});
  return wrong;
}

void feedback_check::OnLeavingForwarded(const endpoint& daemon,
                                        const std::string& upstream,
                                        steady_time at) {
  leaving_forwarded_[{daemon, upstream}].push_back(at);
}

std::optional<std::string> feedback_check::OnLeavingArrival(
    const feedback_arrival& item) {
  ++counted_;
  const std::vector<steady_time>& forwarded =
      leaving_forwarded_[{item.daemon, item.upstream}];
  const bool is_bound = std::any_of(
      forwarded.begin(), forwarded.end(), [&](steady_time forwarded_at) {
        return forwarded_at > item.undisturbed_since &&
               item.at >= forwarded_at + kDrainTime;
      });
  if (!is_bound) {
    return std::nullopt;
  }
  return item.upstream + " announced that it leaves and got a request of " +
         item.daemon.ToString();
}

}  // namespace cuminswitch::soak
