#include "cuminswitch/Admission/request_quarantine.h"

#include <algorithm>
#include <utility>

namespace cuminswitch {

/// A daemon relays a crash that a peer reported if it knows at least this many
/// for the request. Nearly all requests that are aborted at all are aborted
/// only once.
static constexpr size_t kCrashesToRelay = 2;

/// Age at which a crash is verified. The times that peers report are late by
/// the time that their messages take, so a probe must not be sent at once.
static constexpr duration kVerifyDelay = std::chrono::milliseconds(150);
/// How much later than a crash a peer's request must have been sent for its
/// response to clear the crash.
static constexpr duration kReportDelay = std::chrono::milliseconds(100);
/// Age at which a crash is verified unless a response was reported: the probes
/// have timed out, and a report would have arrived.
static constexpr duration kVerifyTime = std::chrono::seconds(1);
/// Peers' responses that are remembered.
static constexpr size_t kMaxResponses = 1024;

/// Parts whose crashes are relayed to peers or verified; fewer than suffice for
/// a quarantine.
static constexpr size_t kPartCrashesToVerify = 3;
/// Requests whose crashes are held back.
static constexpr size_t kMaxHeld = 16;
/// Unframed ends that are remembered, and how far from a crash of their
/// upstream they count as caused by it.
static constexpr size_t kMaxUnframedEnds = 256;
static constexpr duration kCrashWindow = std::chrono::milliseconds(300);
/// Time after an unframed end in which an upstream that accepts no connection
/// counts as crashed.
static constexpr duration kUnreachableWindow = std::chrono::seconds(1);

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

}  // namespace cuminswitch
