/// \file
/// Which engines change their weights next while capacity is scarce, and how
/// many at once.
#ifndef CUMINSWITCH_FLEET_ROLLOUT_PACE_H_
#define CUMINSWITCH_FLEET_ROLLOUT_PACE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Fleet/fleet_snapshot.h"
#include "cuminswitch/Fleet/version_history.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class occupancy_source;
class upstream_directory;

/// Why an engine changes its weights at this time, in the order in which
/// engines are chosen.
enum class change_reason : uint8_t {
  /// Daemons send it nothing any more, since its weights are past the bound:
  /// changing it takes nothing from the capacity.
  kPastBound,
  /// It has just started, and has no requests to complete first.
  kStarted,
  /// It serves requests, and its turn has come.
  kInTurn,
};

std::string_view ToString(change_reason value);

/// An engine with superseded weights.
struct rollout_candidate {
  upstream_ref entry;
  /// Its weights.
  std::string_view model;
  uint64_t version = 0;
  /// It may be sent a command now.
  bool is_ready = false;
  /// The reason for which its change has begun, if it has.
  std::optional<change_reason> changing;
};

/// A candidate to change now.
struct rollout_choice {
  /// Index among the candidates.
  size_t index = 0;
  change_reason reason = change_reason::kInTurn;
  /// Number of changes of its service in progress, this one included.
  size_t concurrent = 0;
  /// Time for which daemons still send it requests; not positive if they do
  /// not.
  duration time_left{0};
};

/// Decides how many engines change their weights at once, and which go first,
/// when a service cannot spare capacity. An engine under load completes its
/// requests for seconds before it loads the new weights, and accepts no others
/// meanwhile; one whose weights are past the bound stands idle until its turn.
///
/// Engines that serve nothing change first and do not count against the limit.
/// Of the others as many change as the load can spare, or as are needed for all
/// to change before their weights are past the bound, up to the limit. Performs
/// no I/O and reads no clock.
class rollout_pace {
 public:
  struct options {
    /// How long superseded weights may be used.
    duration old_weights_time{0};
    /// May be null; it then counts as unknown how busy engines are.
    const occupancy_source* occupancy = nullptr;
  };
  /// A service whose engines change their weights.
  struct service_state {
    /// Its engines, those with the target weights included.
    std::span<const upstream_ref> engines;
    /// Concurrent changes that do not slow each other down.
    size_t limit = 0;
  };

  explicit rollout_pace(const options& opts) : options_(opts) {}

  /// Records target weights published at \p at. To be called while another
  /// daemon leads, too: a leader must know for how long versions may be used.
  void OnPublished(time_point at, std::span<const weights_version> wanted) {
    history_.OnPublished(at, wanted);
  }
  /// Records which engines have started since the last call.
  void OnUpstreams(time_point now, const upstream_directory& upstreams);
  /// Records that a change took \p time from the first query of the engine
  /// until its entry showed the new weights.
  void OnChanged(duration time);
  /// Discards what only holds while this daemon leads.
  void Clear();

  /// Returns which of one service's \p candidates change now, most important
  /// first.
  std::vector<rollout_choice> Choose(
      time_point now,
      const service_state& service,
      std::span<const rollout_candidate> candidates) const;

 private:
  /// One run of an engine.
  struct run {
    uint64_t started = 0;
    /// Zero if it ran when this daemon became the leader.
    time_point seen_at{};
  };
  /// A candidate with what decides about it.
  struct ranked {
    size_t index = 0;
    change_reason reason = change_reason::kInTurn;
    duration time_left{0};
    double occupancy = 0;
  };

  ranked Rank(time_point now,
              size_t index,
              const rollout_candidate& item) const;
  /// Returns how many engines that serve may change at once.
  size_t InTurnLimit(time_point now,
                     const service_state& service,
                     std::span<const ranked> candidates) const;
  /// Returns how many must change at once for all to change in time.
  size_t CountForced(std::span<const ranked> candidates) const;
  /// Returns how many engines the load can spare.
  size_t CountSpare(time_point now, const service_state& service) const;

  options options_;
  version_history history_;
  std::map<std::string, run, std::less<>> runs_;
  std::optional<uint64_t> directory_version_;
  std::optional<duration> change_time_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ROLLOUT_PACE_H_
