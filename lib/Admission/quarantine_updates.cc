// What the quarantine exchanges with peers and with the store.
#include <algorithm>
#include <utility>

#include "cuminswitch/Admission/request_quarantine.h"

namespace cuminswitch {

/// Largest number of entries of one kind in a message.
static constexpr size_t kMaxReports = 16;
/// Largest age of a crash that is reported or accepted, slightly less than the
/// time for which it counts. An older one would return, with a younger age, to
/// daemons that have just removed it.
static constexpr duration kMaxReportAge =
    request_quarantine::kQuarantineTime - std::chrono::seconds(10);
/// Crashes under parts that wait to be reported.
static constexpr size_t kMaxPendingParts = 256;
/// Crashes under one part that are repeated to peers.
static constexpr size_t kMaxActivePerPart = 8;

void request_quarantine::QueueReport(const hash128& request,
                                     const crash& seen) {
  const bool is_part = IsPartDigest(request);
  auto& pending = is_part ? pending_part_crashes_ : pending_crashes_;
  if (pending.size() < (is_part ? kMaxPendingParts : kMaxReports)) {
    pending.push_back({.request = request, .seen = seen});
  }
}

void request_quarantine::QueueCompletion(const hash128& request,
                                         time_point at) {
  const auto known = std::find_if(
      pending_completions_.begin(), pending_completions_.end(),
      [&](const pending_completion& item) { return item.request == request; });
  if (known != pending_completions_.end()) {
    known->sent = std::max(known->sent, at);
  } else if (pending_completions_.size() < kMaxReports) {
    pending_completions_.push_back({.request = request, .sent = at});
  }
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
    if (IsPartDigest(item.request)) {
      RecordPartCompletion(item.request, now - item.age, crash_source::kPeer);
    } else {
      RecordCompletion(now, item.request, now - item.age, crash_source::kPeer);
    }
  }
  for (const response_report& item : update.responses) {
    OnPeerResponse(item.upstream, now - item.age);
  }
  AddConfirmed(now);
  JudgeParts(now, crash_source::kPeer);
}

void request_quarantine::OnStored(time_point now,
                                  std::span<const hash128> requests) {
  for (const hash128& request : requests) {
    suspect& item = FindOrCreate(now, request);
    if (item.is_part && item.listed_at == time_point()) {
      item.listed_at = now;
    }
    if (item.stored_until != time_point() || item.IsRefuted()) {
      continue;
    }
    const bool was_quarantined = item.QuarantinedUntil() > now;
    item.stored_until = now + kQuarantineTime;
    if (!was_quarantined) {
      OnQuarantined(request, item, crash_source::kStore);
    }
  }
  for (auto& [digest, item] : suspects_) {
    if (item.listed_at != time_point() &&
        std::find(requests.begin(), requests.end(), digest) == requests.end()) {
      item.stored_until = {};
      item.listed_at = {};
    }
  }
}

void request_quarantine::OnUpstreamResponse(uint64_t upstream,
                                            time_point sent) {
  if (!unframed_ends_.empty()) {
    CompleteUnframedEnds(upstream, sent);
  }
  // Called for each response; almost always the upstream has no crash.
  if (crashed_.contains(upstream) && ClearCrashes(upstream, sent) &&
      pending_responses_.size() < kMaxReports) {
    pending_responses_.push_back({.upstream = upstream, .sent = sent});
  }
}

std::vector<request_quarantine::pending_crash>
request_quarantine::TakePendingCrashes() {
  std::vector<pending_crash> taken = std::exchange(pending_crashes_, {});
  // Parts under which more upstreams crashed are more likely the cause.
  std::stable_sort(pending_part_crashes_.begin(), pending_part_crashes_.end(),
                   [this](const pending_crash& a, const pending_crash& b) {
                     return CountCrashesOf(a.request) >
                            CountCrashesOf(b.request);
                   });
  const auto end = pending_part_crashes_.begin() +
                   static_cast<ptrdiff_t>(
                       std::min(kMaxReports, pending_part_crashes_.size()));
  taken.insert(taken.end(), pending_part_crashes_.begin(), end);
  pending_part_crashes_.erase(pending_part_crashes_.begin(), end);
  return taken;
}

size_t request_quarantine::CountCrashesOf(const hash128& digest) const {
  const auto found = suspects_.find(digest);
  return found == suspects_.end() ? 0 : found->second.CountCrashes();
}

quarantine_update request_quarantine::TakeUpdate(time_point now) {
  quarantine_update update;
  for (const pending_crash& item : TakePendingCrashes()) {
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

void request_quarantine::ListActive(time_point now,
                                    const hash128& request,
                                    size_t limit,
                                    std::vector<crash_report>& active) const {
  const suspect& item = suspects_.at(request);
  for (const crash& seen : item.crashes) {
    const duration age = now - seen.at;
    if (item.Counts(seen) && age < kMaxReportAge && limit > 0) {
      --limit;
      active.push_back({.request = request,
                        .upstream = seen.upstream,
                        .age = age,
                        .took = seen.at - seen.sent});
    }
  }
}

std::vector<crash_report> request_quarantine::ListActiveCrashes(
    time_point now) const {
  std::vector<crash_report> of_requests;
  std::vector<crash_report> of_parts;
  for (const hash128& request : quarantined_) {
    if (!TimeLeft(now, request)) {
      continue;
    }
    std::vector<crash_report>& list =
        IsPartDigest(request) ? of_parts : of_requests;
    const size_t left = kMaxReports - list.size();
    ListActive(now, request,
               IsPartDigest(request) ? std::min(left, kMaxActivePerPart) : left,
               list);
  }
  of_parts.insert(of_parts.end(), of_requests.begin(), of_requests.end());
  return of_parts;
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
    if (item.is_part && now < item.VerifiedAt()) {
      continue;
    }
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
