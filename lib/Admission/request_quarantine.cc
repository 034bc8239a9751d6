#include "cuminswitch/Admission/request_quarantine.h"

#include <algorithm>
#include <utility>

namespace cuminswitch {

/// Crashes in sequence after which a request is quarantined. A request that
/// runs beside the one that crashes the upstream is aborted as well, and both
/// may be retried at the same upstream; three times in a row is rare.
static constexpr size_t kSequenceToQuarantine = 3;
/// A caller that sends several copies at once crashes as many upstreams each
/// time. So this many crashes suffice with a sequence of `kShortSequence`.
static constexpr size_t kCrashesToQuarantine = 5;
static constexpr size_t kShortSequence = 2;
/// A daemon relays a crash that a peer reported if it knows at least this many
/// for the request. Nearly all requests that are aborted at all are aborted
/// only once.
static constexpr size_t kCrashesToRelay = 2;
/// Largest number of entries of one kind in a message.
static constexpr size_t kMaxReports = 16;
/// Largest age of a crash that is reported or accepted, slightly less than the
/// time for which it counts. An older one would return, with a younger age, to
/// daemons that have just removed it.
static constexpr duration kMaxReportAge =
    request_quarantine::kQuarantineTime - std::chrono::seconds(10);
/// Bounds the memory. More requests are aborted only where a large part of a
/// large fleet crashes at once, which no request causes.
static constexpr size_t kMaxSuspects = 4096;

/// Age at which a crash is verified. The times that peers report are late by
/// the time that their messages take, so a probe must not be sent at once.
static constexpr duration kVerifyDelay = std::chrono::milliseconds(150);
/// How much later than a crash a peer's request must have been sent for its
/// response to clear the crash.
static constexpr duration kReportDelay = std::chrono::milliseconds(100);
/// Age at which a crash is verified unless a response was reported: the probes
/// have timed out, and a report would have arrived.
static constexpr duration kVerifyTime = std::chrono::seconds(1);
/// Peers' responses are remembered for this time, and at most so many.
static constexpr duration kResponseRetention = std::chrono::seconds(10);
static constexpr size_t kMaxResponses = 1024;

size_t request_quarantine::suspect::CountCrashes() const {
  return static_cast<size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [this](const crash& item) { return Counts(item); }));
}

size_t request_quarantine::suspect::CountInSequence() const {
  size_t count = 0;
  time_point last{};
  for (const crash& item : crashes) {
    if (Counts(item) && item.sent >= last) {
      ++count;
      last = item.at;
    }
  }
  return count;
}

bool request_quarantine::suspect::HasCrashedEnough() const {
  if (crashes.size() < kSequenceToQuarantine) {
    return false;
  }
  const size_t in_sequence = CountInSequence();
  return in_sequence >= kSequenceToQuarantine ||
         (in_sequence >= kShortSequence &&
          CountCrashes() >= kCrashesToQuarantine);
}

time_point request_quarantine::suspect::QuarantinedUntil() const {
  return HasCrashedEnough()
             ? std::max(stored_until, crashes.back().at + kQuarantineTime)
             : stored_until;
}

bool request_quarantine::suspect::IsRefuted() const {
  const auto cleared =
      std::count_if(crashes.begin(), crashes.end(),
                    [](const crash& item) { return item.is_cleared; });
  return cleared > 0 && crashes.size() >= kSequenceToQuarantine &&
         !HasCrashedEnough();
}

time_point request_quarantine::suspect::VerifiedAt() const {
  return crashes.empty() ? time_point() : crashes.back().at + kVerifyTime;
}

void request_quarantine::RecordEvent(quarantine_event::kind what,
                                     const hash128& request,
                                     const suspect& item,
                                     crash_source source) {
  if (options_.keeps_events) {
    events_.push_back({.what = what,
                       .request = request,
                       .crashes = item.CountCrashes(),
                       .source = source});
  }
}

request_quarantine::suspect& request_quarantine::FindOrCreate(
    time_point now,
    const hash128& request) {
  if (const auto found = suspects_.find(request); found != suspects_.end()) {
    return found->second;
  }
  EvictOldest(now);
  order_.push_back(request);
  return suspects_[request];
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

void request_quarantine::AddCrash(time_point now,
                                  const hash128& request,
                                  const crash& seen) {
  suspect& item = FindOrCreate(now, request);
  const auto known = std::find_if(
      item.crashes.begin(), item.crashes.end(),
      [&](const crash& old) { return old.upstream == seen.upstream; });
  if (known != item.crashes.end()) {
    known->is_local = known->is_local || seen.is_local;
    return;
  }
  const bool was_quarantined = item.QuarantinedUntil() > now;
  const auto place = std::upper_bound(
      item.crashes.begin(), item.crashes.end(), seen,
      [](const crash& a, const crash& b) { return a.at < b.at; });
  const auto added = item.crashes.insert(place, seen);
  const auto responded = peer_responses_.find(seen.upstream);
  const bool has_responded = responded != peer_responses_.end() &&
                             seen.at + kReportDelay < responded->second;
  if (has_responded || explained_.contains(seen.upstream)) {
    added->is_cleared = true;
    return;
  }
  crashed_.insert(seen.upstream);
  const crash_source source =
      seen.is_local ? crash_source::kOwn : crash_source::kPeer;
  if (seen.is_local) {
    RecordEvent(quarantine_event::kind::kSuspected, request, item, source);
  }
  if (seen.is_local || item.CountCrashes() >= kCrashesToRelay) {
    QueueReport(request, seen);
  }
  if (!was_quarantined && item.QuarantinedUntil() > now) {
    OnQuarantined(request, item, source);
    ExplainCrashes(request);
  }
}

void request_quarantine::QueueReport(const hash128& request,
                                     const crash& seen) {
  if (pending_crashes_.size() < kMaxReports) {
    pending_crashes_.push_back({.request = request, .seen = seen});
  }
}

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
    if (other == request || item.HasCrashedEnough()) {
      continue;
    }
    for (crash& seen : item.crashes) {
      seen.is_cleared = seen.is_cleared || explained_.contains(seen.upstream);
    }
  }
}

void request_quarantine::OnCrash(time_point now,
                                 const hash128& request,
                                 uint64_t upstream,
                                 time_point sent) {
  const crash seen{
      .upstream = upstream, .sent = sent, .at = now, .is_local = true};
  if (contact_ == contact::kReached) {
    AddCrash(now, request, seen);
  } else if (contact_ == contact::kInDoubt &&
             held_crashes_.size() < kMaxReports) {
    held_crashes_.push_back({.request = request, .seen = seen});
  }
}

void request_quarantine::SetContact(time_point now, contact value) {
  contact_ = value;
  if (value == contact::kInDoubt) {
    return;
  }
  const std::vector<pending_crash> held = std::exchange(held_crashes_, {});
  if (value == contact::kReached) {
    for (const pending_crash& item : held) {
      AddCrash(now, item.request, item.seen);
    }
  }
}

void request_quarantine::RecordCompletion(time_point now,
                                          const hash128& request,
                                          time_point sent,
                                          crash_source source) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || sent <= found->second.completed_sent) {
    return;
  }
  suspect& item = found->second;
  const size_t before = item.CountCrashes();
  const bool was_quarantined = item.QuarantinedUntil() > now;
  item.completed_sent = sent;
  if (item.CountCrashes() == before) {
    return;
  }
  if (before >= kCrashesToRelay && pending_completions_.size() < kMaxReports) {
    pending_completions_.push_back({.request = request, .sent = sent});
  }
  if (source == crash_source::kOwn || was_quarantined) {
    RecordEvent(quarantine_event::kind::kCleared, request, item, source);
  }
}

void request_quarantine::OnCompleted(time_point now,
                                     const hash128& request,
                                     time_point sent) {
  RecordCompletion(now, request, sent, crash_source::kOwn);
}

void request_quarantine::OnUpdate(time_point now,
                                  const quarantine_update& update) {
  for (const crash_report& item : update.crashes) {
    if (item.age < kMaxReportAge) {
      AddCrash(now, item.request,
               {.upstream = item.upstream,
                .sent = now - item.age - item.took,
                .at = now - item.age});
    }
  }
  for (const completion_report& item : update.completions) {
    RecordCompletion(now, item.request, now - item.age, crash_source::kPeer);
  }
  for (const response_report& item : update.responses) {
    OnPeerResponse(item.upstream, now - item.age);
  }
}

void request_quarantine::OnStored(time_point now,
                                  std::span<const hash128> requests) {
  for (const hash128& request : requests) {
    suspect& item = FindOrCreate(now, request);
    if (item.stored_until != time_point() || item.IsRefuted()) {
      continue;
    }
    const bool was_quarantined = item.QuarantinedUntil() > now;
    item.stored_until = now + kQuarantineTime;
    if (!was_quarantined) {
      OnQuarantined(request, item, crash_source::kStore);
    }
  }
}

void request_quarantine::OnUpstreamResponse(uint64_t upstream,
                                            time_point sent) {
  // Called for each response; almost always the upstream has no crash.
  if (crashed_.contains(upstream) && ClearCrashes(upstream, sent) &&
      pending_responses_.size() < kMaxReports) {
    pending_responses_.push_back({.upstream = upstream, .sent = sent});
  }
}

void request_quarantine::OnPeerResponse(uint64_t upstream, time_point at) {
  if (peer_responses_.size() < kMaxResponses) {
    time_point& known = peer_responses_[upstream];
    known = std::max(known, at);
  }
  if (crashed_.contains(upstream)) {
    ClearCrashes(upstream, at - kReportDelay);
  }
}

bool request_quarantine::ClearCrashes(uint64_t upstream, time_point at) {
  bool has_cleared = false;
  for (auto& [request, item] : suspects_) {
    for (crash& seen : item.crashes) {
      if (seen.upstream == upstream && seen.at < at && !seen.is_cleared) {
        seen.is_cleared = true;
        has_cleared = true;
        RecordEvent(quarantine_event::kind::kCleared, request, item,
                    crash_source::kOwn);
      }
    }
    if (item.IsRefuted()) {
      item.stored_until = {};
    }
  }
  return has_cleared;
}

std::vector<uint64_t> request_quarantine::TakeUnverified(time_point now) {
  std::vector<uint64_t> upstreams;
  if (crashed_.empty()) {
    return upstreams;
  }
  for (auto& [request, item] : suspects_) {
    if (item.CountCrashes() < kCrashesToRelay) {
      continue;
    }
    for (crash& seen : item.crashes) {
      const duration age = now - seen.at;
      if (item.Counts(seen) && !seen.is_probed && age >= kVerifyDelay &&
          age < kVerifyTime) {
        seen.is_probed = true;
        upstreams.push_back(seen.upstream);
      }
    }
  }
  std::sort(upstreams.begin(), upstreams.end());
  upstreams.erase(std::unique(upstreams.begin(), upstreams.end()),
                  upstreams.end());
  return upstreams;
}

void request_quarantine::Expire(time_point now) {
  std::erase_if(peer_responses_, [now](const auto& item) {
    return now - item.second > kResponseRetention;
  });
  crashed_.clear();
  explained_.clear();
  for (auto& [request, item] : suspects_) {
    if (item.QuarantinedUntil() <= now) {
      std::erase_if(item.crashes, [now](const crash& seen) {
        return now - seen.at >= kQuarantineTime;
      });
    }
    for (const crash& seen : item.crashes) {
      if (!seen.is_cleared) {
        crashed_.insert(seen.upstream);
        if (item.QuarantinedUntil() > now) {
          explained_.insert(seen.upstream);
        }
      }
    }
  }
  std::erase_if(suspects_, [now](const auto& entry) {
    return entry.second.crashes.empty() && entry.second.stored_until <= now;
  });
  std::erase_if(order_, [this](const hash128& request) {
    return !suspects_.contains(request);
  });
  std::erase_if(quarantined_, [this, now](const hash128& request) {
    return !TimeLeft(now, request);
  });
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

quarantine_update request_quarantine::TakeUpdate(time_point now) {
  quarantine_update update;
  for (const pending_crash& item : std::exchange(pending_crashes_, {})) {
    update.crashes.push_back({.request = item.request,
                              .upstream = item.seen.upstream,
                              .age = now - item.seen.at,
                              .took = item.seen.at - item.seen.sent});
  }
  for (const pending_completion& item :
       std::exchange(pending_completions_, {})) {
    update.completions.push_back(
        {.request = item.request, .age = now - item.sent});
  }
  for (const pending_response& item : std::exchange(pending_responses_, {})) {
    update.responses.push_back(
        {.upstream = item.upstream, .age = now - item.sent});
  }
  return update;
}

std::vector<crash_report> request_quarantine::ListActiveCrashes(
    time_point now) const {
  std::vector<crash_report> active;
  for (const hash128& request : quarantined_) {
    if (!TimeLeft(now, request)) {
      continue;
    }
    const suspect& item = suspects_.at(request);
    for (const crash& seen : item.crashes) {
      const duration age = now - seen.at;
      if (item.Counts(seen) && age < kMaxReportAge &&
          active.size() < kMaxReports) {
        active.push_back({.request = request,
                          .upstream = seen.upstream,
                          .age = age,
                          .took = seen.at - seen.sent});
      }
    }
  }
  return active;
}

std::vector<quarantine_record> request_quarantine::ListOwn(
    time_point now) const {
  std::vector<quarantine_record> own;
  for (const hash128& request : quarantined_) {
    const std::optional<duration> left = TimeLeft(now, request);
    if (!left) {
      continue;
    }
    const suspect& item = suspects_.at(request);
    const bool has_local_crash = std::any_of(
        item.crashes.begin(), item.crashes.end(), [&item](const crash& seen) {
          return seen.is_local && item.Counts(seen);
        });
    if (has_local_crash) {
      own.push_back({.request = request, .time_left = *left});
    }
  }
  return own;
}

}  // namespace cuminswitch
