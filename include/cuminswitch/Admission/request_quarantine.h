/// \file
/// Quarantines requests, and parts of prompts, that crash the upstreams that
/// run them.
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

#include "cuminswitch/Admission/completion_counts.h"
#include "cuminswitch/Admission/crash_attribution.h"
#include "cuminswitch/Protocol/crash_report.h"
#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Records which requests were running at upstreams that crashed, and
/// quarantines a request under which several upstreams crash one after the
/// other. It handles a request that is sent again and again, to any daemon, and
/// crashes each upstream that starts to run it, which also aborts all other
/// requests running there.
///
/// The shared state is a set of pairs of a request and a start of an upstream.
/// The set only grows, so updates may arrive late, twice and in any order.
/// Daemons relay crashes reported by peers once several are known for a
/// request: the daemon that observed one may fail at any moment.
///
/// An execution that ends without a response counts as a crash at once, since
/// proof would come only after the next attempt of a fast caller. Four findings
/// clear a request:
/// - Its executions overlapped: several upstreams may crash at once for another
///   reason, and many callers may send the same request.
/// - The upstream responds later under the same start, to any daemon: only a
///   connection was lost.
/// - Another request that was running there is quarantined, which explains the
///   crash.
/// - An execution that was sent later completed.
///
/// A part of a prompt may be what crashes upstreams, in requests of which no
/// two are alike. So crashes are recorded under the parts of the request as
/// well, each under a digest like that of a request. Sound parts are shared by
/// many requests and aborted beside the one that crashes the upstream,
/// therefore parts are judged together, by `AttributeCrashes`, from all crashes
/// since a request with the part completed. A quarantined part explains the
/// crashes under other parts and under requests. What follows from the crashes
/// is derived anew with each change, so a sound part that was quarantined while
/// reports were missing is released. Where all upstreams crashed for another
/// reason, nothing could refute it any more: a daemon that observed the last
/// crash then admits a request with a part that had completed before.
///
/// A daemon whose links fail cannot tell lost connections from crashes. So
/// several daemons verify each crash of a request that may become quarantined,
/// and report the upstreams that respond.
class request_quarantine {
 public:
  struct options {
    /// Whether to collect events for `TakeEvents`.
    bool keeps_events = false;
  };

  /// Whether this daemon reaches upstreams. Lost connections are no evidence of
  /// crashes where it reaches none.
  enum class contact : uint8_t {
    kReached,
    /// Crashes are held back until it is known.
    kInDoubt,
    /// Crashes are ignored.
    kLost,
  };

  /// How long a crash counts. A quarantine lasts as long after the last crash.
  static constexpr duration kQuarantineTime = std::chrono::minutes(10);

  request_quarantine() = default;
  explicit request_quarantine(const options& opts) : options_(opts) {}

  /// Sets the contact with upstreams. Crashes that were held back count once it
  /// is reached, and are dropped once it is lost.
  void SetContact(time_point now, contact value);
  /// Records that this daemon's execution of \p request with \p parts at
  /// \p upstream, sent at \p sent, ended without a response.
  void OnCrash(time_point now,
               const hash128& request,
               uint64_t upstream,
               time_point sent,
               std::span<const hash128> parts = {});
  /// Records that the response to this daemon's execution ended with its
  /// connection, as it does both when it is complete and when the upstream
  /// crashes. It counts as a crash if the upstream is found to have crashed at
  /// that time, and as complete once the upstream responds again.
  void OnUnframedEnd(time_point now,
                     const hash128& request,
                     uint64_t upstream,
                     time_point sent,
                     std::span<const hash128> parts);
  /// Records that \p upstream accepts no connection.
  void OnUnreachable(time_point now, uint64_t upstream);
  /// Records that an execution of \p request, sent at \p sent, completed.
  void OnCompleted(time_point now, const hash128& request, time_point sent);
  /// Records that an execution of a request with \p parts, sent at \p sent,
  /// completed with success.
  void OnPartsCompleted(time_point now,
                        std::span<const hash128> parts,
                        time_point sent);
  /// Applies a peer's update.
  void OnUpdate(time_point now, const quarantine_update& update);
  /// Applies the store's list of quarantined requests and parts. Ignores those
  /// whose upstreams had not crashed, as far as this daemon knows. A part that
  /// is no longer listed is released unless this daemon has quarantined it.
  void OnStored(time_point now, std::span<const hash128> requests);
  /// Records that \p upstream responded to an attempt or probe sent at \p sent,
  /// so it had not crashed before.
  void OnUpstreamResponse(uint64_t upstream, time_point sent);
  /// Returns the upstreams to probe, each of them once per crash.
  std::vector<uint64_t> TakeUnverified(time_point now);
  /// Removes expired crashes and quarantines.
  void Expire(time_point now);

  /// Returns how long \p request remains quarantined; nothing where it is not.
  std::optional<duration> TimeLeft(time_point now,
                                   const hash128& request) const;
  /// Returns after which time a caller may send the quarantined \p request
  /// again: until its crashes are verified, the rest of the verification.
  std::optional<duration> RetryDelay(time_point now,
                                     const hash128& request) const;
  /// Returns the first of \p parts that is quarantined; null if none is.
  const hash128* FindQuarantined(time_point now,
                                 std::span<const hash128> parts) const;
  /// Whether this daemon may send a request with the quarantined \p part, to
  /// see whether it still crashes upstreams. If so, it may not again for some
  /// time.
  bool TryStartTrial(time_point now, const hash128& part);
  /// Returns the changes for peers since the last call, at most 16 of each
  /// kind. Crashes under parts are a kind of their own; further ones follow
  /// with the next calls.
  quarantine_update TakeUpdate(time_point now);
  /// Returns crashes of quarantined requests and parts, for peers that missed
  /// the update; at most 16 of each kind.
  std::vector<crash_report> ListActiveCrashes(time_point now) const;
  /// Returns the quarantined requests and parts under which this daemon itself
  /// observed a crash; parts once their crashes are verified.
  std::vector<quarantine_record> ListOwn(time_point now) const;
  /// Returns the changes since the last call: new quarantines, and those caused
  /// by this daemon's own executions.
  std::vector<quarantine_event> TakeEvents() {
    return std::exchange(events_, {});
  }
  /// Returns the number of quarantined requests and parts. Those that ended
  /// since the last call of `Expire` are included.
  size_t CountQuarantined() const { return quarantined_.size(); }
  /// Returns the number of requests and parts under which an upstream crashed,
  /// quarantined ones included.
  size_t size() const { return suspects_.size(); }

 private:
  struct crash {
    uint64_t upstream = 0;
    /// When the execution was sent, and when it ended.
    time_point sent{};
    time_point at{};
    /// Whether this daemon observed it itself.
    bool is_local = false;
    /// Whether `TakeUnverified` returned it.
    bool is_probed = false;
    /// Whether it turned out to be no crash, or not caused by the request. Such
    /// entries stay, so that later reports of them don't count either.
    bool is_cleared = false;
    /// Whether a quarantined part explains it.
    bool is_explained = false;
  };
  struct suspect {
    /// Ordered by `crash::at`.
    std::vector<crash> crashes;
    /// When the latest execution that completed was sent; for a part, when it
    /// completed.
    time_point completed_sent{};
    /// End of the quarantine that the store listed.
    time_point stored_until{};
    /// Since when the store has listed the part; zero if it does not.
    time_point listed_at{};
    bool is_part = false;
    /// Whether the crashes are attributed to this part.
    bool is_blamed = false;
    /// When this daemon last sent a request to try the quarantined part, and
    /// how many of these crashed their upstream.
    time_point tried_at{};
    size_t failed_trials = 0;
    /// The position of the part in prompts, if a request of this daemon had it.
    size_t depth = 0;

    /// Whether an upstream crashed while it executed a request with this part,
    /// or this request, since one completed.
    bool HasCrashed(const crash& item) const {
      return !item.is_cleared && item.at >= completed_sent;
    }
    /// Whether the crash counts towards a quarantine.
    bool Counts(const crash& item) const {
      return HasCrashed(item) && !item.is_explained;
    }
    std::vector<crashed_start> ListCrashes() const;
    size_t CountCrashes() const;
    /// Returns the largest number of crashes whose executions don't overlap.
    size_t CountInSequence() const;
    bool HasCrashedEnough() const;
    time_point QuarantinedUntil() const;
    /// Whether the crashes for which it was quarantined were none.
    bool IsRefuted() const;
    /// When verification of the latest crash is over.
    time_point VerifiedAt() const;
  };

  struct pending_crash {
    hash128 request;
    crash seen;
  };
  struct held_crash {
    hash128 request;
    crash seen;
    std::vector<hash128> parts;
  };
  struct pending_completion {
    hash128 request;
    time_point sent{};
  };
  struct pending_response {
    uint64_t upstream = 0;
    time_point sent{};
  };

  void AddCrash(time_point now, const hash128& request, const crash& seen);
  /// Adds this daemon's own crash under a request and under \p parts.
  void AddOwnCrash(time_point now,
                   const hash128& request,
                   const crash& seen,
                   std::span<const hash128> parts);
  /// Records that an execution of a request with the part completed at \p at.
  void RecordPartCompletion(const hash128& part,
                            time_point at,
                            crash_source source);
  /// Records that an execution of a request with \p parts, sent at \p sent,
  /// completed at \p at.
  void RecordPartsCompletion(std::span<const hash128> parts,
                             time_point sent,
                             time_point at);
  /// Records as complete the unframed ends at \p upstream before \p sent, when
  /// something was sent to which it responded.
  void CompleteUnframedEnds(uint64_t upstream, time_point sent);
  /// Moves the unframed ends at \p upstream from \p from to \p to to those that
  /// count as crashes.
  void ConfirmUnframedEnds(uint64_t upstream, time_point from, time_point to);
  /// Adds the crashes that were confirmed.
  void AddConfirmed(time_point now);
  /// Decides anew which parts are quarantined and what they explain.
  void JudgeParts(time_point now, crash_source source);
  /// Returns the parts to which the crashes are to be attributed.
  std::vector<hash128> ListBlamedParts() const;
  std::vector<pending_crash> TakePendingCrashes();
  size_t CountCrashesOf(const hash128& digest) const;
  void QueueCompletion(const hash128& request, time_point at);
  /// Appends up to \p limit crashes under \p request that count to \p active.
  void ListActive(time_point now,
                  const hash128& request,
                  size_t limit,
                  std::vector<crash_report>& active) const;
  /// Clears the crashes of \p upstream before \p at. Returns whether there were
  /// any.
  bool ClearCrashes(uint64_t upstream, time_point at);
  /// Records that \p upstream responded to a peer, to what was sent at \p at.
  void OnPeerResponse(uint64_t upstream, time_point at);
  /// Returns the entry of \p request, created if it is new.
  suspect& FindOrCreate(time_point now, const hash128& request);
  /// Evicts the oldest suspects that are not quarantined if there are too many.
  void EvictOldest(time_point now);
  /// Records that an execution sent at \p sent completed.
  void RecordCompletion(time_point now,
                        const hash128& request,
                        time_point sent,
                        crash_source source);
  /// Lists the request as quarantined.
  void OnQuarantined(const hash128& request,
                     const suspect& item,
                     crash_source source);
  /// Clears other requests of the crashes that the quarantined \p request
  /// explains.
  void ExplainCrashes(const hash128& request);
  /// Queues a crash for the next update to peers.
  void QueueReport(const hash128& request, const crash& seen);
  void RecordEvent(quarantine_event::kind what,
                   const hash128& request,
                   const suspect& item,
                   crash_source source);

  options options_;
  contact contact_ = contact::kReached;
  /// This daemon's crashes since the contact is in doubt.
  std::vector<held_crash> held_crashes_;
  /// The latest unframed ends, and those at upstreams that crashed.
  std::deque<held_crash> unframed_ends_;
  std::vector<held_crash> confirmed_;
  std::unordered_map<hash128, suspect, hash128_hasher> suspects_;
  /// The suspects, the oldest first; some may have been removed already.
  std::deque<hash128> order_;
  /// Upstreams with a crash that counts; until the next `Expire`, also some
  /// whose crashes no longer count.
  std::unordered_set<uint64_t> crashed_;
  /// Upstreams that crashed under quarantined requests.
  std::unordered_set<uint64_t> explained_;
  /// Quarantined requests; until the next `Expire`, also some whose quarantine
  /// has ended. Kept as a list of their own, since they are few and looked up
  /// often.
  std::vector<hash128> quarantined_;
  std::vector<quarantine_event> events_;
  /// Whether anything changed that `JudgeParts` depends on.
  bool must_judge_ = false;
  bool has_blamed_ = false;
  completion_counts part_completions_;
  time_point next_halving_{};
  /// What `TakeUpdate` returns next.
  std::vector<pending_crash> pending_crashes_;
  std::vector<pending_crash> pending_part_crashes_;
  std::vector<pending_completion> pending_completions_;
  std::vector<pending_response> pending_responses_;
  /// When what upstreams responded to was sent, as peers reported. A report of
  /// a crash may arrive after the one that clears it.
  std::unordered_map<uint64_t, time_point> peer_responses_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_REQUEST_QUARANTINE_H_
