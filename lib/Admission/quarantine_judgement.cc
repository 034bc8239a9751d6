// Which requests and parts are quarantined, for how long, and trials of parts.
#include <algorithm>
#include <utility>

#include "cuminswitch/Admission/request_quarantine.h"

namespace cuminswitch {

/// Time from the last crash under a quarantined part until it is tried, and
/// between trials. Daemons that observed the crash begin at different times, so
/// that the first result reaches the others.
static constexpr duration kTrialDelay = std::chrono::seconds(2);
static constexpr duration kTrialSpread = std::chrono::seconds(3);
static constexpr duration kTrialInterval = std::chrono::seconds(3);
static constexpr size_t kMaxFailedTrials = 1;

void request_quarantine::OnQuarantined(const hash128& request,
                                       const suspect& item,
                                       crash_source source) {
  // A request cleared since the last `Expire` is still listed.
  if (std::find(quarantined_.begin(), quarantined_.end(), request) ==
      quarantined_.end()) {
    quarantined_.push_back(request);
  }
  RecordEvent(quarantine_event::kind::kQuarantined, request, item, source);
}

void request_quarantine::ExplainCrashes(const hash128& request) {
  for (const crash& seen : suspects_.at(request).crashes) {
    if (!seen.is_cleared) {
      explained_.insert(seen.upstream);
    }
  }
  for (auto& [other, item] : suspects_) {
    if (other == request || item.is_part || item.HasCrashedEnough()) {
      continue;
    }
    for (crash& seen : item.crashes) {
      seen.is_cleared = seen.is_cleared || explained_.contains(seen.upstream);
    }
  }
}

void request_quarantine::JudgeParts(time_point now, crash_source source) {
  if (!std::exchange(must_judge_, false)) {
    return;
  }
  const std::vector<hash128> blamed = ListBlamedParts();
  if (blamed.empty() && !has_blamed_) {
    return;
  }
  has_blamed_ = !blamed.empty();
  std::unordered_set<uint64_t> explained;
  for (const hash128& part : blamed) {
    for (const crashed_start& seen : suspects_.at(part).ListCrashes()) {
      explained.insert(seen.upstream);
    }
  }
  for (auto& [digest, item] : suspects_) {
    const bool was_quarantined = item.QuarantinedUntil() > now;
    item.is_blamed =
        std::find(blamed.begin(), blamed.end(), digest) != blamed.end();
    for (crash& seen : item.crashes) {
      seen.is_explained = !item.is_blamed && explained.contains(seen.upstream);
    }
    if (was_quarantined && item.IsRefuted()) {
      item.stored_until = {};
    }
    const bool is_quarantined = item.QuarantinedUntil() > now;
    if (is_quarantined && !was_quarantined) {
      OnQuarantined(digest, item, source);
    } else if (was_quarantined && !is_quarantined) {
      RecordEvent(quarantine_event::kind::kCleared, digest, item, source);
    }
  }
}

std::optional<duration> request_quarantine::TimeLeft(
    time_point now,
    const hash128& request) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return std::nullopt;
  }
  const duration left = found->second.QuarantinedUntil() - now;
  return left > duration(0) ? std::optional(left) : std::nullopt;
}

std::optional<duration> request_quarantine::RetryDelay(
    time_point now,
    const hash128& request) const {
  const std::optional<duration> left = TimeLeft(now, request);
  if (!left) {
    return std::nullopt;
  }
  const duration verification = suspects_.at(request).VerifiedAt() - now;
  return verification > duration(0) ? std::min(*left, verification) : *left;
}

const hash128* request_quarantine::FindQuarantined(
    time_point now,
    std::span<const hash128> parts) const {
  if (quarantined_.empty()) {
    return nullptr;
  }
  const auto found = std::find_if(
      parts.begin(), parts.end(),
      [&](const hash128& part) { return TimeLeft(now, part).has_value(); });
  return found == parts.end() ? nullptr : &*found;
}

bool request_quarantine::TryStartTrial(time_point now, const hash128& part) {
  const auto found = suspects_.find(part);
  if (found == suspects_.end() || !found->second.is_blamed ||
      part_completions_.Count(part) == 0) {
    return false;
  }
  suspect& item = found->second;
  const crash& last = item.crashes.back();
  const uint64_t draw =
      CombineHash(last.upstream,
                  static_cast<uint64_t>(last.sent.time_since_epoch().count()));
  const duration spread(
      static_cast<int64_t>(draw % static_cast<uint64_t>(kTrialSpread.count())));
  const bool was_tried = item.tried_at != time_point();
  if (!last.is_local || item.failed_trials >= kMaxFailedTrials ||
      now - last.at < kTrialDelay + spread ||
      (was_tried && now - item.tried_at < kTrialInterval)) {
    return false;
  }
  item.tried_at = now;
  return true;
}

}  // namespace cuminswitch
