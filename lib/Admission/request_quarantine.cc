#include "cuminswitch/Admission/request_quarantine.h"

#include <algorithm>
#include <utility>

namespace cuminswitch {

/// A request that runs where another crashes the upstream breaks off with it,
/// and may be sent along to the next one. Three times over is rare.
static constexpr size_t kSequenceToQuarantine = 3;
/// A caller that sends several copies at once crashes as many each time.
static constexpr size_t kCrashesToQuarantine = 5;
static constexpr size_t kShortSequence = 2;
/// A daemon passes a crash on that a peer saw if it knows of so many under the
/// request. Nearly all requests break off once.
static constexpr size_t kCrashesToPassOn = 2;
/// Bounds what is told in one message.
static constexpr size_t kMaxNews = 16;
/// Crashes are told for almost as long as they count: passed on later, they
/// would come back younger to who has just forgotten them.
static constexpr duration kTellTime =
    request_quarantine::kQuarantineTime - std::chrono::seconds(10);
/// More are broken off only where a great part of a large fleet crashes at
/// once, which is no request's doing.
static constexpr size_t kMaxSuspects = 4096;

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

void request_quarantine::Note(quarantine_event::kind what,
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

request_quarantine::suspect& request_quarantine::Touch(time_point now,
                                                       const hash128& request) {
  if (const auto found = suspects_.find(request); found != suspects_.end()) {
    return found->second;
  }
  MakeRoom(now);
  order_.push_back(request);
  return suspects_[request];
}

void request_quarantine::MakeRoom(time_point now) {
  // Quarantined ones go to the end of the order once, and then in their turn.
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

void request_quarantine::Add(time_point now,
                             const hash128& request,
                             const crash& seen) {
  suspect& item = Touch(now, request);
  const auto known = std::find_if(
      item.crashes.begin(), item.crashes.end(),
      [&](const crash& old) { return old.upstream == seen.upstream; });
  if (known != item.crashes.end()) {
    known->is_first_hand = known->is_first_hand || seen.is_first_hand;
    return;
  }
  const bool was_quarantined = item.QuarantinedUntil() > now;
  const auto place = std::upper_bound(
      item.crashes.begin(), item.crashes.end(), seen,
      [](const crash& a, const crash& b) { return a.at < b.at; });
  const auto added = item.crashes.insert(place, seen);
  if (explained_.contains(seen.upstream)) {
    added->is_cleared = true;
    return;
  }
  crashed_.insert(seen.upstream);
  const crash_source source =
      seen.is_first_hand ? crash_source::kOwn : crash_source::kPeer;
  if (seen.is_first_hand) {
    Note(quarantine_event::kind::kSuspected, request, item, source);
  }
  if (seen.is_first_hand || item.CountCrashes() >= kCrashesToPassOn) {
    Tell(request, seen);
  }
  if (!was_quarantined && item.QuarantinedUntil() > now) {
    OnQuarantined(request, item, source);
    ExplainCrashes(request);
  }
}

void request_quarantine::Tell(const hash128& request, const crash& seen) {
  if (pending_crashes_.size() < kMaxNews) {
    pending_crashes_.push_back({.request = request, .seen = seen});
  }
}

void request_quarantine::OnQuarantined(const hash128& request,
                                       const suspect& item,
                                       crash_source source) {
  // One that was cleared since the last `Expire` is still there.
  if (std::find(quarantined_.begin(), quarantined_.end(), request) ==
      quarantined_.end()) {
    quarantined_.push_back(request);
  }
  Note(quarantine_event::kind::kQuarantined, request, item, source);
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
  Add(now, request,
      {.upstream = upstream, .sent = sent, .at = now, .is_first_hand = true});
}

void request_quarantine::Complete(time_point now,
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
  if (before >= kCrashesToPassOn && pending_completions_.size() < kMaxNews) {
    pending_completions_.push_back({.request = request, .sent = sent});
  }
  if (source == crash_source::kOwn || was_quarantined) {
    Note(quarantine_event::kind::kCleared, request, item, source);
  }
}

void request_quarantine::OnCompleted(time_point now,
                                     const hash128& request,
                                     time_point sent) {
  Complete(now, request, sent, crash_source::kOwn);
}

void request_quarantine::OnUpdate(time_point now,
                                  const quarantine_update& news) {
  for (const crash_report& item : news.crashes) {
    if (item.age < kTellTime) {
      Add(now, item.request,
          {.upstream = item.upstream,
           .sent = now - item.age - item.took,
           .at = now - item.age});
    }
  }
  for (const completion_report& item : news.completions) {
    Complete(now, item.request, now - item.age, crash_source::kPeer);
  }
}

void request_quarantine::OnStored(time_point now,
                                  std::span<const hash128> requests) {
  for (const hash128& request : requests) {
    suspect& item = Touch(now, request);
    if (item.stored_until != time_point()) {
      continue;
    }
    const bool was_quarantined = item.QuarantinedUntil() > now;
    item.stored_until = now + kQuarantineTime;
    if (!was_quarantined) {
      OnQuarantined(request, item, crash_source::kStore);
    }
  }
}

void request_quarantine::OnAnswered(uint64_t upstream, time_point sent) {
  // Asked for each answer, so almost always no.
  if (!crashed_.contains(upstream)) {
    return;
  }
  for (auto& [request, item] : suspects_) {
    for (crash& seen : item.crashes) {
      if (seen.upstream == upstream && seen.at < sent && !seen.is_cleared) {
        seen.is_cleared = true;
        Note(quarantine_event::kind::kCleared, request, item,
             crash_source::kOwn);
      }
    }
  }
}

void request_quarantine::Expire(time_point now) {
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

quarantine_update request_quarantine::TakeUpdate(time_point now) {
  quarantine_update news;
  for (const pending_crash& item : std::exchange(pending_crashes_, {})) {
    news.crashes.push_back({.request = item.request,
                            .upstream = item.seen.upstream,
                            .age = now - item.seen.at,
                            .took = item.seen.at - item.seen.sent});
  }
  for (const pending_completion& item :
       std::exchange(pending_completions_, {})) {
    news.completions.push_back(
        {.request = item.request, .age = now - item.sent});
  }
  return news;
}

std::vector<crash_report> request_quarantine::ListActiveCrashes(
    time_point now) const {
  std::vector<crash_report> standing;
  for (const hash128& request : quarantined_) {
    if (!TimeLeft(now, request)) {
      continue;
    }
    const suspect& item = suspects_.at(request);
    for (const crash& seen : item.crashes) {
      const duration age = now - seen.at;
      if (item.Counts(seen) && age < kTellTime && standing.size() < kMaxNews) {
        standing.push_back({.request = request,
                            .upstream = seen.upstream,
                            .age = age,
                            .took = seen.at - seen.sent});
      }
    }
  }
  return standing;
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
    const bool saw_one = std::any_of(
        item.crashes.begin(), item.crashes.end(), [&item](const crash& seen) {
          return seen.is_first_hand && item.Counts(seen);
        });
    if (saw_one) {
      own.push_back({.request = request, .time_left = *left});
    }
  }
  return own;
}

}  // namespace cuminswitch
