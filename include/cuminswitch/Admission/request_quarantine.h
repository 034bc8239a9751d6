/// \file
/// Keeps requests that crash upstreams away from them.
#ifndef CUMINSWITCH_ADMISSION_REQUEST_QUARANTINE_H_
#define CUMINSWITCH_ADMISSION_REQUEST_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "cuminswitch/Protocol/crash_news.h"
#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Remembers which requests were being run at upstreams that crashed, and
/// quarantines a request under which three have. It answers the load of one
/// request that comes again and again, at any daemon, and crashes each upstream
/// that begins to run it; all others that run there break off with it.
///
/// A broken attempt counts as a crash at once. An upstream that only lost a
/// connection shows so by its next answer, and the crash is cleared; one that
/// did crash never answers again under the same start. Waiting for proof of the
/// crash would let a fast caller through meanwhile. Nor does a crash count
/// against a request that ran to its end of late: many callers may send the
/// same, and several upstreams may crash at once for another reason.
///
/// Peers are told only what this daemon saw itself, so that no news outlives
/// its age by going round among daemons.
class request_quarantine {
 public:
  struct options {
    /// Keep events for `TakeEvents`.
    bool keeps_events = false;
  };

  /// How long a crash counts, and with it a quarantine lasts.
  static constexpr duration kQuarantineTime = std::chrono::minutes(10);

  request_quarantine() = default;
  explicit request_quarantine(const options& opts) : options_(opts) {}

  /// An attempt of this daemon at \p request broke off at \p upstream.
  void OnCrash(time_point now, const hash128& request, uint64_t upstream);
  /// Takes in what a peer saw.
  void OnNews(time_point now, const crash_news& news);
  /// Takes in which requests the store lists as quarantined.
  void OnStored(time_point now, std::span<const hash128> requests);
  /// \p upstream answered an attempt that was sent at \p sent, so it had not
  /// crashed before.
  void OnAnswered(uint64_t upstream, time_point sent);
  /// \p request ran to its end, so it does not crash upstreams.
  void OnCompleted(time_point now, const hash128& request);
  /// Forgets what does not count any more.
  void Expire(time_point now);

  /// How long \p request is still quarantined; nothing where it is not.
  std::optional<duration> TimeLeft(time_point now,
                                   const hash128& request) const;
  /// What this daemon saw itself and peers should know; bounded.
  std::vector<crash_news> ListNews(time_point now) const;
  /// Quarantined requests under which this daemon saw a crash itself, with the
  /// time that is left.
  std::vector<std::pair<hash128, duration>> ListOwn(time_point now) const;
  std::vector<quarantine_event> TakeEvents() {
    return std::exchange(events_, {});
  }
  /// As of the last call of `Expire`.
  size_t CountQuarantined() const;
  /// Requests under which an upstream crashed, quarantined ones included.
  size_t size() const { return suspects_.size(); }

 private:
  struct crash {
    uint64_t upstream = 0;
    time_point at{};
    bool is_first_hand = false;
    /// It was none, or not the request's doing. Kept, so that a peer's news of
    /// it do not count either.
    bool is_cleared = false;
  };
  struct suspect {
    std::vector<crash> crashes;
    /// Until when the store's word holds.
    time_point stored_until{};

    size_t CountCrashes() const;
    time_point QuarantinedUntil() const;
  };

  void Add(time_point now, const hash128& request, const crash& seen);
  /// Returns what is known of \p request, which may be nothing yet.
  suspect& Touch(time_point now, const hash128& request);
  /// Forgets the oldest that is not quarantined if there are too many.
  void MakeRoom(time_point now);
  bool HasCompleted(const hash128& request) const {
    return completed_.contains(request) || completed_before_.contains(request);
  }
  void Note(quarantine_event::kind what,
            const hash128& request,
            const suspect& item,
            crash_source source);

  options options_;
  std::unordered_map<hash128, suspect, hash128_hasher> suspects_;
  /// The suspects, the oldest first; some may be forgotten already.
  std::deque<hash128> order_;
  /// The upstreams that crashes that count were seen at, and some others.
  std::unordered_set<uint64_t> crashed_;
  /// Requests that ran to their end lately, and in the period before.
  std::unordered_set<hash128, hash128_hasher> completed_;
  std::unordered_set<hash128, hash128_hasher> completed_before_;
  time_point period_began_{};
  time_point expired_at_{};
  std::vector<quarantine_event> events_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_REQUEST_QUARANTINE_H_
