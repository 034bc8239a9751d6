#include "soak/partition_check.h"

#include <utility>

namespace cuminswitch::soak {

/// `contact-ms` of the daemons' settings: the bound holds from this time after
/// the partition began.
static constexpr std::chrono::milliseconds kContactTime{3'000};
/// Failures that are always allowed, and one more per this many requests.
static constexpr size_t kFailuresAllowed = 10;
static constexpr size_t kRequestsPerFailure = 50;

static std::string Describe(size_t served, size_t sent) {
  return std::to_string(served) + " of " + std::to_string(sent) + " requests";
}

void partition_check::OnBegin(std::set<endpoint> partitioned, steady_time at) {
  partitioned_ = std::move(partitioned);
  begun_at_ = at;
  cut_ = {};
  others_ = {};
}

void partition_check::OnResponse(const endpoint& daemon,
                                 steady_time sent_at,
                                 bool is_served) {
  if (partitioned_.empty() || sent_at < begun_at_ + kContactTime) {
    return;
  }
  tally& group = partitioned_.contains(daemon) ? cut_ : others_;
  ++group.sent;
  group.served += is_served ? 1 : 0;
}

bool partition_check::tally::HasTooManyFailures() const {
  return sent - served > kFailuresAllowed + sent / kRequestsPerFailure;
}

std::optional<std::string> partition_check::OnEnd() {
  partitioned_.clear();
  counted_ += cut_.sent;
  const std::string others = Describe(others_.served, others_.sent);
  if (others_.HasTooManyFailures()) {
    return "daemons that are not partitioned served " + others;
  }
  // Served less than two thirds as often: 3 * cut / sent < 2 * others / sent.
  const bool is_rarer =
      3 * cut_.served * others_.sent < 2 * others_.served * cut_.sent;
  if (is_rarer && cut_.HasTooManyFailures()) {
    return "partitioned daemons served " + Describe(cut_.served, cut_.sent) +
           ", the others " + others;
  }
  return std::nullopt;
}

}  // namespace cuminswitch::soak
