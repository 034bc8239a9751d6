#include "cuminswitch/Admission/request_quarantine.h"

#include <algorithm>
#include <functional>

namespace cuminswitch {

/// A request that runs where another crashes the upstream breaks off with it,
/// and may be sent along to the next one. Three times over is rare.
static constexpr size_t kCrashesToQuarantine = 3;
/// For so long peers are told of a crash; beats reach all within it. Those of a
/// quarantined request are told as long as it is.
static constexpr duration kTellTime = std::chrono::seconds(10);
/// Bounds what is told in one message.
static constexpr size_t kMaxNews = 64;
/// More are broken off only where a great part of a large fleet crashes at
/// once, which is no request's doing.
static constexpr size_t kMaxSuspects = 4096;
/// Requests that ran to their end are remembered for one to two periods.
static constexpr duration kCompletedPeriod = std::chrono::seconds(30);
static constexpr size_t kMaxCompleted = 8192;

size_t request_quarantine::suspect::CountCrashes() const {
  return static_cast<size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [](const crash& item) { return !item.is_cleared; }));
}

time_point request_quarantine::suspect::QuarantinedUntil() const {
  if (crashes.size() < kCrashesToQuarantine) {
    return stored_until;
  }
  std::vector<time_point> counted;
  for (const crash& item : crashes) {
    if (!item.is_cleared) {
      counted.push_back(item.at);
    }
  }
  if (counted.size() < kCrashesToQuarantine) {
    return stored_until;
  }
  const auto last_needed = counted.begin() + (kCrashesToQuarantine - 1);
  std::nth_element(counted.begin(), last_needed, counted.end(),
                   std::greater<>());
  return std::max(stored_until, *last_needed + kQuarantineTime);
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
  item.crashes.push_back(seen);
  if (HasCompleted(request)) {
    item.crashes.back().is_cleared = true;
    return;
  }
  crashed_.insert(seen.upstream);
  const crash_source source =
      seen.is_first_hand ? crash_source::kOwn : crash_source::kPeer;
  Note(quarantine_event::kind::kSuspected, request, item, source);
  if (!was_quarantined && item.QuarantinedUntil() > now) {
    Note(quarantine_event::kind::kQuarantined, request, item, source);
  }
}

void request_quarantine::OnCrash(time_point now,
                                 const hash128& request,
                                 uint64_t upstream) {
  Add(now, request, {.upstream = upstream, .at = now, .is_first_hand = true});
}

void request_quarantine::OnNews(time_point now, const crash_news& news) {
  if (news.age < kQuarantineTime) {
    Add(now, news.request, {.upstream = news.upstream, .at = now - news.age});
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
      Note(quarantine_event::kind::kQuarantined, request, item,
           crash_source::kStore);
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

void request_quarantine::OnCompleted(time_point now, const hash128& request) {
  if (now - period_began_ >= kCompletedPeriod ||
      completed_.size() >= kMaxCompleted) {
    period_began_ = now;
    completed_before_ = std::exchange(completed_, {});
  }
  completed_.insert(request);
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || found->second.CountCrashes() == 0) {
    return;
  }
  for (crash& seen : found->second.crashes) {
    seen.is_cleared = true;
  }
  Note(quarantine_event::kind::kCleared, request, found->second,
       crash_source::kOwn);
}

void request_quarantine::Expire(time_point now) {
  expired_at_ = now;
  crashed_.clear();
  for (auto& [request, item] : suspects_) {
    std::erase_if(item.crashes, [now](const crash& seen) {
      return now - seen.at >= kQuarantineTime;
    });
    for (const crash& seen : item.crashes) {
      if (!seen.is_cleared) {
        crashed_.insert(seen.upstream);
      }
    }
  }
  std::erase_if(suspects_, [now](const auto& entry) {
    return entry.second.crashes.empty() && entry.second.stored_until <= now;
  });
  std::erase_if(order_, [this](const hash128& request) {
    return !suspects_.contains(request);
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

std::vector<crash_news> request_quarantine::ListNews(time_point now) const {
  std::vector<crash_news> news;
  for (const auto& [request, item] : suspects_) {
    const bool is_quarantined = item.QuarantinedUntil() > now;
    for (const crash& seen : item.crashes) {
      const duration age = now - seen.at;
      if (seen.is_first_hand && !seen.is_cleared &&
          (is_quarantined || age < kTellTime)) {
        news.push_back(
            {.request = request, .upstream = seen.upstream, .age = age});
      }
    }
  }
  std::sort(news.begin(), news.end(), [](const auto& a, const auto& b) {
    return a.age != b.age ? a.age < b.age : a.request < b.request;
  });
  if (news.size() > kMaxNews) {
    news.resize(kMaxNews);
  }
  return news;
}

std::vector<std::pair<hash128, duration>> request_quarantine::ListOwn(
    time_point now) const {
  std::vector<std::pair<hash128, duration>> own;
  for (const auto& [request, item] : suspects_) {
    const bool saw_one = std::any_of(
        item.crashes.begin(), item.crashes.end(), [](const crash& seen) {
          return seen.is_first_hand && !seen.is_cleared;
        });
    const duration left = item.QuarantinedUntil() - now;
    if (saw_one && left > duration(0)) {
      own.emplace_back(request, left);
    }
  }
  return own;
}

size_t request_quarantine::CountQuarantined() const {
  return static_cast<size_t>(std::count_if(
      suspects_.begin(), suspects_.end(), [this](const auto& entry) {
        return entry.second.QuarantinedUntil() > expired_at_;
      }));
}

}  // namespace cuminswitch
