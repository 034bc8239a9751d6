/// \file
/// The limits that upstreams have named.
#ifndef CUMINSWITCH_ADMISSION_UPSTREAM_LIMITS_H_
#define CUMINSWITCH_ADMISSION_UPSTREAM_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Protocol/quota_message.h"
#include "cuminswitch/Protocol/upstream_notice.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The quota of all daemons at an upstream that takes \p rate requests a
/// second.
quota_limit QuotaOfLimit(double rate);

/// Keeps which upstreams are in need and name, in their answers, the requests a
/// second that they take from all daemons together.
///
/// Answers on several connections overtake one another, and so does what peers
/// tell. An answer without a limit that was made before the limit was named
/// would lift it too soon, and the upstream would get as much as before for as
/// long as it takes to name it again. So only an answer to a request that was
/// sent after the latest naming ends a limit.
///
/// Peers are told only what this daemon heard from an upstream itself. News
/// that goes round among daemons would grow younger by the time of each
/// transfer, and a limit of which no upstream says anything would never end.
class upstream_limits {
 public:
  /// What became known by an answer or by a peer.
  enum class change : uint8_t { kNothing, kAdded, kChanged, kEnded };

  /// Takes in an answer to a request that was sent at \p sent. One whose limit
  /// cannot be read changes nothing.
  change OnAnswer(time_point now,
                  uint64_t upstream,
                  time_point sent,
                  const limit_notice& notice);
  /// Takes in what a peer knows.
  change OnUpdate(time_point now, const limit_update& news);
  /// Forgets the limit of an upstream that has started again.
  change Forget(uint64_t upstream);
  /// Ends limits that no answer has renewed for long; returns their upstreams.
  std::vector<uint64_t> TakeExpired(time_point now);

  /// Requests a second that \p upstream takes; nothing where it names no limit.
  std::optional<double> Find(uint64_t upstream) const;
  /// Since the answer that named \p upstream's limit last.
  duration Age(time_point now, uint64_t upstream) const;
  /// What this daemon heard itself and, where \p passes_on, what peers told it,
  /// the latest change first; bounded.
  std::vector<limit_update> ListUpdates(time_point now,
                                        bool passes_on = false) const;
  /// Limits in force.
  size_t size() const;

 private:
  struct known_limit {
    double rate = 0;
    bool has_ended = false;
    /// Heard from the upstream, not from a peer.
    bool is_first_hand = false;
    /// When the latest answer that says so was made, at the latest.
    time_point told_at{};
    /// When what is known last changed.
    time_point changed_at{};
  };

  /// What an answer said that was made at \p at.
  struct statement {
    uint64_t upstream = 0;
    time_point at{};
    bool is_first_hand = false;
  };

  change Name(time_point now, const statement& told, double rate);
  change End(time_point now, const statement& told);

  std::unordered_map<uint64_t, known_limit> known_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_UPSTREAM_LIMITS_H_
