/// \file
/// What this daemon and its peers last observed of each upstream.
#ifndef CUMINSWITCH_ROUTING_OBSERVATION_TABLE_H_
#define CUMINSWITCH_ROUTING_OBSERVATION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cuminswitch/Protocol/upstream_observation.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Who made an observation.
enum class observer : uint8_t { kSelf, kPeer };

/// The beginning or end of a refusal that keeps requests from an upstream.
struct refusal_change {
  uint64_t upstream = 0;
  upstream_refusal refusal = upstream_refusal::kNone;
  bool has_begun = false;
  observer source = observer::kSelf;
  /// Age of the observation behind the change.
  duration age{0};
};

/// Retains the newest observation of each upstream. Answers the load of many
/// daemons that would each learn by their own failed attempts that an upstream
/// refuses: one refusal keeps all of them from it, then they try it one after
/// another. Fleets of any size send it about as many trials as one daemon
/// would.
class observation_table {
 public:
  struct options {
    /// Identifies this daemon. Daemons with different seeds try an upstream
    /// that refuses at different times.
    uint64_t seed = 0;
  };

  observation_table() = default;
  explicit observation_table(const options& opts) : options_(opts) {}

  void SetFleetSize(size_t size) { fleet_size_ = size; }
  /// Applies \p seen unless something newer is known.
  void Record(time_point now, const upstream_observation& seen, observer who);
  /// Returns the time before which requests should go elsewhere, since
  /// \p upstream refuses those for \p incarnation; nothing if it does not
  /// refuse.
  std::optional<time_point> HeldUntil(uint64_t upstream,
                                      uint64_t incarnation) const;
  /// Returns the newest load that \p upstream stated, with its age; nothing if
  /// it is too old to say anything about the present.
  std::optional<upstream_observation> FindLoad(time_point now,
                                               uint64_t upstream) const;
  /// Lists this daemon's own recent observations for its peers, at most
  /// `kMaxListed`: refusals first, then the newest.
  std::vector<upstream_observation> ListOwn(time_point now) const;
  /// Drops what is too old to have any effect.
  void Expire(time_point now);
  /// Returns the first changes since the last call, at most `kMaxChanges`.
  std::vector<refusal_change> TakeChanges() {
    return std::exchange(changes_, {});
  }
  /// Returns the number of upstreams that refuse.
  size_t CountRefusing() const;

  static constexpr size_t kMaxListed = 48;
  static constexpr size_t kMaxChanges = 32;

 private:
  struct entry {
    /// The newest stated load; valid if `slots` is not 0.
    upstream_observation load;
    time_point load_at{};
    upstream_refusal refusal = upstream_refusal::kNone;
    /// The incarnation that is refused.
    uint64_t refused_incarnation = 0;
    time_point refused_at{};
    /// When this daemon may try it again.
    time_point try_at{};
    /// The last response other than a refusal, and the incarnation for which
    /// it was sent.
    time_point responded_at{};
    uint64_t responded_incarnation = 0;
    /// When a response last contradicted a peer that did not reach it.
    time_point contradicted_at{};
    /// This daemon's last observation.
    upstream_observation own;
    time_point own_at{};
  };

  void RecordResponse(time_point now,
                      const upstream_observation& seen,
                      observer who,
                      entry& item);
  void RecordRefusal(time_point now,
                     const upstream_observation& seen,
                     observer who,
                     entry& item);
  time_point TrialTime(const upstream_observation& seen, time_point at) const;
  void AddChange(const refusal_change& change);

  options options_;
  size_t fleet_size_ = 1;
  std::unordered_map<uint64_t, entry> entries_;
  std::vector<refusal_change> changes_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_OBSERVATION_TABLE_H_
