// Suspected requests and parts: what is known of each, and when it is dropped.
#include <algorithm>

#include "cuminswitch/Admission/request_quarantine.h"

namespace cuminswitch {

/// Crashes in sequence after which a request is quarantined. A request that
/// runs beside the one that crashes the upstream is aborted as well, and both
/// may be retried at the same upstream; three times in a row is rare.
static constexpr size_t kSequenceToQuarantine = 3;
/// A caller that sends several copies at once crashes as many upstreams each
/// time. So this many crashes suffice with a sequence of `kShortSequence`.
static constexpr size_t kCrashesToQuarantine = 5;
static constexpr size_t kShortSequence = 2;
/// Bounds the memory. More requests are aborted only where a large part of a
/// large fleet crashes at once, which no request causes.
static constexpr size_t kMaxSuspects = 4096;
/// Peers' responses are remembered for this time.
static constexpr duration kResponseRetention = std::chrono::seconds(10);
/// Time in which the numbers of completions are halved.
static constexpr duration kCompletionHalfLife = std::chrono::minutes(1);

std::vector<crashed_start> request_quarantine::suspect::ListCrashes() const {
  std::vector<crashed_start> listed;
  for (const crash& item : crashes) {
    if (HasCrashed(item)) {
      listed.push_back(
          {.upstream = item.upstream, .sent = item.sent, .at = item.at});
    }
  }
  return listed;
}

size_t request_quarantine::suspect::CountCrashes() const {
  return static_cast<size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [this](const crash& item) { return Counts(item); }));
}

size_t request_quarantine::suspect::CountInSequence() const {
  std::vector<crashed_start> counted;
  for (const crash& item : crashes) {
    if (Counts(item)) {
      counted.push_back(
          {.upstream = item.upstream, .sent = item.sent, .at = item.at});
    }
  }
  return cuminswitch::CountInSequence(counted);
}

bool request_quarantine::suspect::HasCrashedEnough() const {
  if (is_part) {
    return is_blamed;
  }
  if (crashes.size() < kSequenceToQuarantine) {
    return false;
  }
  const size_t in_sequence = CountInSequence();
  return in_sequence >= kSequenceToQuarantine ||
         (in_sequence >= kShortSequence &&
          CountCrashes() >= kCrashesToQuarantine);
}

time_point request_quarantine::suspect::QuarantinedUntil() const {
  return HasCrashedEnough() && !crashes.empty()
             ? std::max(stored_until, crashes.back().at + kQuarantineTime)
             : stored_until;
}

bool request_quarantine::suspect::IsRefuted() const {
  if (is_part) {
    return !is_blamed && completed_sent != time_point();
  }
  const auto cleared = std::count_if(
      crashes.begin(), crashes.end(),
      [](const crash& item) { return item.is_cleared || item.is_explained; });
  return cleared > 0 && crashes.size() >= kSequenceToQuarantine &&
         !HasCrashedEnough();
}

request_quarantine::suspect& request_quarantine::FindOrCreate(
    time_point now,
    const hash128& request) {
  if (const auto found = suspects_.find(request); found != suspects_.end()) {
    return found->second;
  }
  EvictOldest(now);
  order_.push_back(request);
  suspect& created = suspects_[request];
  created.is_part = IsPartDigest(request);
  return created;
}

void request_quarantine::EvictOldest(time_point now) {
  // Quarantined requests move to the end of the order once; if all are
  // quarantined, the oldest is evicted.
  for (size_t left = order_.size();
       suspects_.size() >= kMaxSuspects && !order_.empty(); --left) {
    const hash128 oldest = order_.front();
    order_.pop_front();
    if (left > 0 && TimeLeft(now, oldest)) {
      order_.push_back(oldest);
    } else {
      suspects_.erase(oldest);
    }
  }
}

void request_quarantine::Expire(time_point now) {
  std::erase_if(peer_responses_, [now](const auto& item) {
    return now - item.second > kResponseRetention;
  });
  crashed_.clear();
  explained_.clear();
  // Crashes may grow too old.
  must_judge_ = true;
  for (auto& [request, item] : suspects_) {
    if (item.QuarantinedUntil() <= now) {
      std::erase_if(item.crashes, [now](const crash& seen) {
        return now - seen.at >= kQuarantineTime;
      });
    }
    for (const crash& seen : item.crashes) {
      if (!seen.is_cleared) {
        crashed_.insert(seen.upstream);
        if (!item.is_part && item.QuarantinedUntil() > now) {
          explained_.insert(seen.upstream);
        }
      }
    }
  }
  std::erase_if(suspects_, [now](const auto& entry) {
    const suspect& item = entry.second;
    // The store may list a part for as long after it completed.
    const bool was_part_completed = item.is_part &&
                                    item.completed_sent != time_point() &&
                                    now - item.completed_sent < kQuarantineTime;
    return item.crashes.empty() && item.stored_until <= now &&
           !was_part_completed;
  });
  if (now >= next_halving_) {
    next_halving_ = now + kCompletionHalfLife;
    part_completions_.Halve();
  }
  JudgeParts(now, crash_source::kOwn);
  std::erase_if(order_, [this](const hash128& request) {
    return !suspects_.contains(request);
  });
  std::erase_if(quarantined_, [this, now](const hash128& request) {
    return !TimeLeft(now, request);
  });
}

}  // namespace cuminswitch
