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

/// Parts whose crashes are relayed to peers or verified; fewer than suffice for
/// a quarantine.
static constexpr size_t kPartCrashesToVerify = 3;
/// Crashes under parts that wait to be reported.
static constexpr size_t kMaxPendingParts = 256;
/// Crashes under one part that are repeated to peers.
static constexpr size_t kMaxActivePerPart = 8;
/// Requests whose crashes are held back.
static constexpr size_t kMaxHeld = 16;
/// Unframed ends that are remembered, and how far from a crash of their
/// upstream they count as caused by it.
static constexpr size_t kMaxUnframedEnds = 256;
static constexpr duration kCrashWindow = std::chrono::milliseconds(300);
/// Time after an unframed end in which an upstream that accepts no connection
/// counts as crashed.
static constexpr duration kUnreachableWindow = std::chrono::seconds(1);
/// Time from the last crash under a quarantined part until it is tried, and
/// between trials. Daemons that observed the crash begin at different times, so
/// that the first result reaches the others.
static constexpr duration kTrialDelay = std::chrono::seconds(2);
static constexpr duration kTrialSpread = std::chrono::seconds(3);
static constexpr duration kTrialInterval = std::chrono::seconds(3);
static constexpr size_t kMaxFailedTrials = 1;
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

void request_quarantine::AddCrash(time_point now,
                                  const hash128& request,
                                  const crash& seen) {
  suspect& item = FindOrCreate(now, request);
  if (item.is_part && !seen.is_local && seen.at < item.completed_sent) {
    // The peer may not know of the completion.
    QueueCompletion(request, item.completed_sent);
  }
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
  must_judge_ = true;
  const auto responded = peer_responses_.find(seen.upstream);
  const bool has_responded = responded != peer_responses_.end() &&
                             seen.at + kReportDelay < responded->second;
  // Whether a quarantined part explains it is decided for all crashes at once.
  const bool is_explained = !item.is_part && explained_.contains(seen.upstream);
  if (has_responded || is_explained) {
    added->is_cleared = true;
    return;
  }
  crashed_.insert(seen.upstream);
  ConfirmUnframedEnds(seen.upstream, seen.at - kCrashWindow,
                      seen.at + kCrashWindow);
  const crash_source source =
      seen.is_local ? crash_source::kOwn : crash_source::kPeer;
  if (seen.is_local) {
    RecordEvent(quarantine_event::kind::kSuspected, request, item, source);
  }
  if (seen.is_local ||
      (!item.is_part && item.CountCrashes() >= kCrashesToRelay)) {
    QueueReport(request, seen);
  }
  if (!was_quarantined && item.QuarantinedUntil() > now) {
    OnQuarantined(request, item, source);
    ExplainCrashes(request);
  }
}

void request_quarantine::QueueReport(const hash128& request,
                                     const crash& seen) {
  const bool is_part = IsPartDigest(request);
  auto& pending = is_part ? pending_part_crashes_ : pending_crashes_;
  if (pending.size() < (is_part ? kMaxPendingParts : kMaxReports)) {
    pending.push_back({.request = request, .seen = seen});
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
    if (other == request || item.is_part || item.HasCrashedEnough()) {
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
                                 time_point sent,
                                 std::span<const hash128> parts) {
  const crash seen{
      .upstream = upstream, .sent = sent, .at = now, .is_local = true};
  if (contact_ == contact::kReached) {
    AddOwnCrash(now, request, seen, parts);
  } else if (contact_ == contact::kInDoubt && held_crashes_.size() < kMaxHeld) {
    held_crashes_.push_back({.request = request,
                             .seen = seen,
                             .parts = {parts.begin(), parts.end()}});
  }
}

void request_quarantine::AddOwnCrash(time_point now,
                                     const hash128& request,
                                     const crash& seen,
                                     std::span<const hash128> parts) {
  AddCrash(now, request, seen);
  for (size_t depth = 0; depth < parts.size(); ++depth) {
    AddCrash(now, parts[depth], seen);
    suspect& item = suspects_.at(parts[depth]);
    item.depth = depth;
    if (item.tried_at != time_point() && seen.sent >= item.tried_at) {
      ++item.failed_trials;
    }
  }
  AddConfirmed(now);
  JudgeParts(now, crash_source::kOwn);
}

void request_quarantine::OnUnframedEnd(time_point now,
                                       const hash128& request,
                                       uint64_t upstream,
                                       time_point sent,
                                       std::span<const hash128> parts) {
  if (contact_ != contact::kReached) {
    return;
  }
  if (unframed_ends_.size() >= kMaxUnframedEnds) {
    unframed_ends_.pop_front();
  }
  unframed_ends_.push_back({.request = request,
                            .seen = {.upstream = upstream,
                                     .sent = sent,
                                     .at = now,
                                     .is_local = true},
                            .parts = {parts.begin(), parts.end()}});
  // A report of the crash may have arrived before.
  if (!crashed_.contains(upstream)) {
    return;
  }
  for (const auto& [digest, item] : suspects_) {
    for (const crash& seen : item.crashes) {
      if (seen.upstream == upstream && !seen.is_cleared) {
        ConfirmUnframedEnds(upstream, seen.at - kCrashWindow,
                            seen.at + kCrashWindow);
      }
    }
  }
  AddConfirmed(now);
}

void request_quarantine::OnUnreachable(time_point now, uint64_t upstream) {
  if (contact_ == contact::kReached) {
    ConfirmUnframedEnds(upstream, now - kUnreachableWindow, now);
    AddConfirmed(now);
  }
}

void request_quarantine::ConfirmUnframedEnds(uint64_t upstream,
                                             time_point from,
                                             time_point to) {
  std::erase_if(unframed_ends_, [&](const held_crash& item) {
    const bool is_crash = item.seen.upstream == upstream &&
                          item.seen.at >= from && item.seen.at <= to;
    if (is_crash) {
      confirmed_.push_back(item);
    }
    return is_crash;
  });
}

void request_quarantine::AddConfirmed(time_point now) {
  for (const held_crash& item : std::exchange(confirmed_, {})) {
    AddOwnCrash(now, item.request, item.seen, item.parts);
  }
}

std::vector<hash128> request_quarantine::ListBlamedParts() const {
  std::vector<suspected_part> parts;
  std::vector<std::vector<uint64_t>> requests;
  for (const auto& [digest, item] : suspects_) {
    if (item.crashes.size() < kPartCrashesToVerify) {
      continue;
    }
    std::vector<crashed_start> crashes = item.ListCrashes();
    if (item.is_part) {
      parts.push_back({.part = digest,
                       .crashes = std::move(crashes),
                       .completions = part_completions_.Count(digest),
                       .depth = item.depth});
    } else {
      std::vector<uint64_t>& upstreams = requests.emplace_back();
      for (const crashed_start& seen : crashes) {
        upstreams.push_back(seen.upstream);
      }
      std::sort(upstreams.begin(), upstreams.end());
    }
  }
  return AttributeCrashes(parts, std::move(requests));
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

void request_quarantine::SetContact(time_point now, contact value) {
  contact_ = value;
  if (value == contact::kInDoubt) {
    return;
  }
  const std::vector<held_crash> held = std::exchange(held_crashes_, {});
  if (value == contact::kReached) {
    for (const held_crash& item : held) {
      AddOwnCrash(now, item.request, item.seen, item.parts);
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
  must_judge_ = true;
  if (before >= kCrashesToRelay) {
    QueueCompletion(request, sent);
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

void request_quarantine::OnPartsCompleted(time_point now,
                                          std::span<const hash128> parts,
                                          time_point sent) {
  RecordPartsCompletion(parts, sent, now);
  JudgeParts(now, crash_source::kOwn);
}

void request_quarantine::RecordPartsCompletion(std::span<const hash128> parts,
                                               time_point sent,
                                               time_point at) {
  for (const hash128& part : parts) {
    part_completions_.Add(part);
    const auto found = suspects_.find(part);
    if (found == suspects_.end()) {
      continue;
    }
    // Other daemons may have adopted the store's record, whose writer may be
    // gone.
    const suspect& item = found->second;
    if (item.listed_at != time_point() && sent > item.listed_at &&
        item.IsRefuted()) {
      QueueCompletion(part, at);
    }
    // An execution that was sent before the first crash may have begun when the
    // part did not crash upstreams yet.
    const std::vector<crashed_start> crashes = item.ListCrashes();
    if (!crashes.empty() && sent > crashes.front().at) {
      RecordPartCompletion(part, at, crash_source::kOwn);
    }
  }
}

void request_quarantine::CompleteUnframedEnds(uint64_t upstream,
                                              time_point sent) {
  std::vector<held_crash> completed;
  std::erase_if(unframed_ends_, [&](const held_crash& item) {
    const bool is_complete =
        item.seen.upstream == upstream && item.seen.at < sent;
    if (is_complete) {
      completed.push_back(item);
    }
    return is_complete;
  });
  for (const held_crash& item : completed) {
    RecordCompletion(item.seen.at, item.request, item.seen.sent,
                     crash_source::kOwn);
    RecordPartsCompletion(item.parts, item.seen.sent, item.seen.at);
  }
}

void request_quarantine::RecordPartCompletion(const hash128& part,
                                              time_point at,
                                              crash_source source) {
  const auto found = suspects_.find(part);
  if (found == suspects_.end() || at <= found->second.completed_sent) {
    return;
  }
  suspect& item = found->second;
  const size_t before = item.ListCrashes().size();
  item.completed_sent = at;
  const bool has_cleared = item.ListCrashes().size() < before;
  must_judge_ = must_judge_ || has_cleared;
  if (has_cleared && source == crash_source::kOwn &&
      before >= kCrashesToRelay) {
    QueueCompletion(part, at);
  }
  const bool ends_record =
      item.stored_until != time_point() && item.IsRefuted();
  if (ends_record) {
    item.stored_until = {};
  }
  if (ends_record ||
      (has_cleared && !item.is_blamed && source == crash_source::kOwn)) {
    RecordEvent(quarantine_event::kind::kCleared, part, item, source);
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
        must_judge_ = true;
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
  for (const auto& [request, item] : suspects_) {
    if (item.CountCrashes() <
        (item.is_part ? kPartCrashesToVerify : kCrashesToRelay)) {
      continue;
    }
    for (const crash& seen : item.crashes) {
      const duration age = now - seen.at;
      if (item.Counts(seen) && !seen.is_probed && age >= kVerifyDelay &&
          age < kVerifyTime) {
        upstreams.push_back(seen.upstream);
      }
    }
  }
  std::sort(upstreams.begin(), upstreams.end());
  upstreams.erase(std::unique(upstreams.begin(), upstreams.end()),
                  upstreams.end());
  for (auto& [request, item] : suspects_) {
    for (crash& seen : item.crashes) {
      seen.is_probed =
          seen.is_probed ||
          std::binary_search(upstreams.begin(), upstreams.end(), seen.upstream);
    }
  }
  return upstreams;
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
