/// \file
/// Keeps requests that crash upstreams away from them.
#ifndef CUMINSWITCH_ADMISSION_REQUEST_QUARANTINE_H_
#define CUMINSWITCH_ADMISSION_REQUEST_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "cuminswitch/Protocol/crash_report.h"
#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Remembers which requests were being run at upstreams that crashed, and
/// quarantines a request under which one crashes after the other. It answers
/// the load of one request that comes again and again, at any daemon, and
/// crashes each upstream that begins to run it; all others that run there break
/// off with it.
///
/// What daemons know are pairs of a request and the start of an upstream. Such
/// a set only grows, so that news may come late, twice and in any order, and
/// daemons pass on what adds up: a witness may be gone the next moment.
///
/// A broken run counts as a crash at once, since proof would come after the
/// next attempt of a fast caller. Four things speak for a request:
/// - Its runs overlapped: several upstreams may crash at once for another
///   reason, and many callers may send the same.
/// - The upstream answers later under the same start: it only lost a
///   connection.
/// - Another request that was running there is quarantined, which explains the
///   crash.
/// - A run that was sent later came to its end.
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

  /// A run of this daemon, of \p request at \p upstream, that was sent at
  /// \p sent, broke off.
  void OnCrash(time_point now,
               const hash128& request,
               uint64_t upstream,
               time_point sent);
  /// A run of \p request that was sent at \p sent came to its end.
  void OnCompleted(time_point now, const hash128& request, time_point sent);
  /// Takes in what a peer knows.
  void OnUpdate(time_point now, const quarantine_update& news);
  /// Takes in which requests the store lists as quarantined.
  void OnStored(time_point now, std::span<const hash128> requests);
  /// \p upstream answered an attempt that was sent at \p sent, so it had not
  /// crashed before.
  void OnAnswered(uint64_t upstream, time_point sent);
  /// Forgets what does not count any more.
  void Expire(time_point now);

  /// How long \p request is still quarantined; nothing where it is not.
  std::optional<duration> TimeLeft(time_point now,
                                   const hash128& request) const;
  /// Returns what peers should know and this daemon learnt since the last call;
  /// bounded.
  quarantine_update TakeUpdate(time_point now);
  /// The crashes of quarantined requests, which peers may have missed; bounded.
  std::vector<crash_report> ListActiveCrashes(time_point now) const;
  /// Quarantined requests under which this daemon saw a crash itself.
  std::vector<quarantine_record> ListOwn(time_point now) const;
  /// What changed by this daemon's own runs, and which requests are
  /// quarantined.
  std::vector<quarantine_event> TakeEvents() {
    return std::exchange(events_, {});
  }
  /// As of the last call of `Expire`, with those that came since.
  size_t CountQuarantined() const { return quarantined_.size(); }
  /// Requests under which an upstream crashed, quarantined ones included.
  size_t size() const { return suspects_.size(); }

 private:
  struct crash {
    uint64_t upstream = 0;
    time_point sent{};
    time_point at{};
    bool is_first_hand = false;
    /// It was none, or not the request's doing. Kept, so that news of it do not
    /// count either.
    bool is_cleared = false;
  };
  struct suspect {
    /// By the time at which they broke off.
    std::vector<crash> crashes;
    /// When the last run that came to its end was sent.
    time_point completed_sent{};
    /// Until when the store's word holds.
    time_point stored_until{};

    bool Counts(const crash& item) const {
      return !item.is_cleared && item.at >= completed_sent;
    }
    size_t CountCrashes() const;
    /// The most of them that follow one another without overlapping.
    size_t CountInSequence() const;
    bool HasCrashedEnough() const;
    time_point QuarantinedUntil() const;
  };

  struct pending_crash {
    hash128 request;
    crash seen;
  };
  struct pending_completion {
    hash128 request;
    time_point sent{};
  };

  void Add(time_point now, const hash128& request, const crash& seen);
  /// Returns what is known of \p request, which may be nothing yet.
  suspect& Touch(time_point now, const hash128& request);
  /// Forgets the oldest that is not quarantined if there are too many.
  void MakeRoom(time_point now);
  /// Notes that a run that was sent at \p sent came to its end.
  void Complete(time_point now,
                const hash128& request,
                time_point sent,
                crash_source source);
  /// The request has become quarantined.
  void OnQuarantined(const hash128& request,
                     const suspect& item,
                     crash_source source);
  /// Clears other requests of the crashes of \p request, which is quarantined.
  void ExplainCrashes(const hash128& request);
  /// Keeps a crash for the peers.
  void Tell(const hash128& request, const crash& seen);
  void Note(quarantine_event::kind what,
            const hash128& request,
            const suspect& item,
            crash_source source);

  options options_;
  std::unordered_map<hash128, suspect, hash128_hasher> suspects_;
  /// The suspects, the oldest first; some may be forgotten already.
  std::deque<hash128> order_;
  /// Upstreams at which a crash was seen that counts; some that do not any more
  /// may be among them until the next `Expire`.
  std::unordered_set<uint64_t> crashed_;
  /// Upstreams that crashed under requests that are quarantined.
  std::unordered_set<uint64_t> explained_;
  /// Quarantined requests; some that are not any more may be among them until
  /// the next `Expire`. They are few, and asked for all the time.
  std::vector<hash128> quarantined_;
  std::vector<quarantine_event> events_;
  /// What `TakeNews` returns next.
  std::vector<pending_crash> pending_crashes_;
  std::vector<pending_completion> pending_completions_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_REQUEST_QUARANTINE_H_
