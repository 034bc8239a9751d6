/// \file
/// The rate limits that upstreams advertise.
#ifndef CUMINSWITCH_ADMISSION_UPSTREAM_LIMITS_H_
#define CUMINSWITCH_ADMISSION_UPSTREAM_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Protocol/quota_message.h"
#include "cuminswitch/Protocol/upstream_notice.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Returns the quota of the whole fleet at an upstream that accepts \p rate
/// requests per second.
quota_limit QuotaOfLimit(double rate);

/// Tracks limits that upstreams advertise in their responses while they are in
/// need: the requests per second that one accepts from all daemons together, or
/// the rejections per second that those of a service survive.
///
/// Responses on several connections overtake one another, and so do updates
/// from peers. A response without a limit that was made before the limit was
/// advertised would end it too soon, and the upstream would get its full load
/// until it advertises the limit again. So a limit ends only by a response to a
/// request that was sent after the latest response with the limit.
///
/// By default, peers receive only what this daemon learnt from an upstream
/// itself. The age of a relayed update shrinks by the time of each transfer, so
/// an update that circulates among daemons could keep a limit forever that no
/// upstream advertises any more.
class upstream_limits {
 public:
  struct options {
    /// Lowest value that is applied; a lower one counts as this.
    double min_value = 0;
    /// A limit that no response renews is in force for at least as long as this
    /// many requests at its rate take; 0 where limits are no rates.
    double lifetime_intervals = 0;
  };
  /// For limits in requests per second.
  static const options kRates;

  explicit upstream_limits(const options& opts = kRates) : options_(opts) {}

  /// The effect of a response or of a peer's update.
  enum class change : uint8_t { kNothing, kAdded, kChanged, kEnded };

  /// Applies the notice of a response to a request that was sent at \p sent. An
  /// unreadable limit changes nothing.
  change OnResponse(time_point now,
                    uint64_t upstream,
                    time_point sent,
                    const limit_notice& notice);
  /// Applies a peer's update.
  change OnUpdate(time_point now, const limit_update& update);
  /// Removes the limit of an upstream that has restarted.
  change Forget(uint64_t upstream);
  /// Ends limits that no response has renewed for long; returns their
  /// upstreams.
  std::vector<uint64_t> TakeExpired(time_point now);

  /// Returns \p upstream's limit; nothing where it advertises none.
  std::optional<double> Find(uint64_t upstream) const;
  /// Returns the time since the last response that advertised \p upstream's
  /// limit.
  duration Age(time_point now, uint64_t upstream) const;
  /// Returns what this daemon learnt from upstreams and, where \p relays,
  /// from peers, the latest change first; at most 64 entries.
  std::vector<limit_update> ListUpdates(time_point now,
                                        bool relays = false) const;
  /// Returns the number of limits in force.
  size_t size() const;

 private:
  struct limit_state {
    /// Requests or rejections per second.
    double rate = 0;
    bool has_ended = false;
    /// Whether it was learnt from the upstream and not from a peer.
    bool is_local = false;
    /// Upper bound of the time at which the latest response with this state was
    /// made.
    time_point observed_at{};
    /// When `rate` or `has_ended` last changed.
    time_point changed_at{};
  };

  /// Origin of a response, received from the upstream or reported by a peer.
  struct observation {
    uint64_t upstream = 0;
    /// Time of the response, as far as it is known.
    time_point at{};
    /// Whether it was received from the upstream itself.
    bool is_local = false;
  };

  /// Applies a response that advertised \p rate requests per second.
  change ApplyLimit(time_point now, const observation& observed, double rate);
  /// Applies a response that advertised no limit.
  change EndLimit(time_point now, const observation& observed);

  options options_;
  /// By upstream.
  std::unordered_map<uint64_t, limit_state> limits_;
};

/// Returns `named`, `changed` or `ended`; an empty string for `kNothing`.
std::string_view ToString(upstream_limits::change what);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_UPSTREAM_LIMITS_H_
