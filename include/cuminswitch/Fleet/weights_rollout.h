/// \file
/// Updates engines to the weights that the operators set as target.
#ifndef CUMINSWITCH_FLEET_WEIGHTS_ROLLOUT_H_
#define CUMINSWITCH_FLEET_WEIGHTS_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/fleet_snapshot.h"
#include "cuminswitch/Fleet/rollout_pace.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class upstream_directory;

/// State reported by an engine.
struct engine_report {
  bool is_busy = false;
  /// Number of commands accepted since the engine started.
  uint64_t accepted_orders = 0;
  /// Start time as in the engine's store entry; 0 if not given.
  uint64_t started = 0;
  std::vector<weights_version> weights;
};

/// Result of a command to an engine.
enum class command_result : uint8_t {
  kAccepted,
  /// The engine already has these weights.
  kAlreadyApplied,
  /// Another command is in progress, or the engine's state differs from the
  /// expected one.
  kConflict,
  /// The engine rejected the command.
  kRejected,
  /// No response: the command may still be executed, even seconds later.
  kUnknown,
};

std::string_view ToString(command_result value);

/// A state query to an engine, or a command if `command` is set.
struct rollout_step {
  std::string upstream;
  endpoint address;
  struct weights_command {
    weights_version weights;
    /// Precondition: number of commands that the engine has accepted.
    uint64_t accepted_orders = 0;
    /// Why the engine changes now, if a pace decides about it.
    std::optional<rollout_choice> choice;
  };
  std::optional<weights_command> command;
};

/// Decides for the leader which engines change their weights, and when. Each
/// engine is queried for its state first; the command then states the expected
/// state as a precondition, so that a command that is executed late cannot undo
/// a newer one. Performs no I/O and reads no clock.
class weights_rollout {
 public:
  /// Limit of concurrent changes in one service: a fifth of its engines, and at
  /// least three, since with fewer the last of a dozen engines is late. More
  /// concurrent changes slow each one down and take more of the service's
  /// capacity away.
  static constexpr size_t kMinConcurrentChanges = 3;
  static constexpr size_t kConcurrentChangesDivisor = 5;

  /// With \p pace, a `rollout_pace` decides which engines change next.
  explicit weights_rollout(
      const std::optional<rollout_pace::options>& pace = std::nullopt);

  /// Records target weights published at \p at, whoever leads.
  void OnPublished(time_point at, std::span<const weights_version> wanted);
  /// Returns the next steps. Only the leader may call this.
  std::vector<rollout_step> OnTick(time_point now,
                                   std::span<const weights_version> wanted,
                                   const upstream_directory& upstreams);
  /// Handles an engine's report, empty if it did not respond, and returns the
  /// next step, if any.
  std::optional<rollout_step> OnReport(
      time_point now,
      const std::string& upstream,
      const std::optional<engine_report>& report);
  void OnCommandResult(time_point now,
                       const std::string& upstream,
                       command_result result);
  /// Returns the upstreams that should get no requests at present.
  std::vector<std::string> ListChanging() const;
  /// Returns the upstreams that serve with their old weights, since they did
  /// not accept the last command, or their state is unknown. They may begin to
  /// change at any time.
  std::vector<std::string> ListUnconfirmed() const;
  /// Discards all state after loss of leadership.
  void Clear();

 private:
  enum class stage : uint8_t { kIdle, kQuerying, kCommanded, kChanging };
  struct engine {
    stage at = stage::kIdle;
    /// It did not accept the last command, or its state is unknown.
    bool is_unconfirmed = false;
    /// It accepted a command that it has not completed, as far as known.
    bool has_accepted = false;
    std::string service;
    endpoint address;
    /// Start time of the engine's run that this state refers to.
    uint64_t started = 0;
    weights_version wanted;
    time_point next_step{};
    time_point since{};
    /// Only with a pace: why it changes now, and since when.
    std::optional<rollout_choice> choice;
    time_point began{};
  };

  /// An engine with older weights than the target.
  struct outdated {
    upstream_ref entry;
    weights_version wanted;
    uint64_t version = 0;
  };

  bool IsChanging(const engine& item) const {
    return item.at != stage::kIdle && !item.is_unconfirmed;
  }
  std::optional<outdated> FindOutdated(const upstream_ref& entry) const;
  /// Lists outdated engines that are not draining, those with the oldest
  /// weights first: versions may be published faster than all engines change,
  /// and the period in which a version may still be used begins with the
  /// publication of the next.
  std::vector<outdated> ListOutdated(const upstream_directory& upstreams) const;
  /// Drops the state of engines that have the target weights, were removed, or
  /// have restarted.
  void DropFinished(const upstream_directory& upstreams);
  /// Returns the state of \p candidate, of which nothing may be known yet.
  engine& Track(const outdated& candidate);
  /// Whether a change or a command in progress is due to be queried.
  bool IsOverdue(time_point now, const engine& item) const;
  static rollout_step Query(time_point now,
                            const std::string& id,
                            engine& item);

  /// `OnTick` with a pace.
  std::vector<rollout_step> TickPaced(time_point now,
                                      std::span<const outdated> candidates,
                                      const upstream_directory& upstreams);
  /// Chooses among the \p candidates of one service.
  void ChoosePaced(time_point now,
                   std::span<const outdated> candidates,
                   std::span<const upstream_ref> engines,
                   std::vector<rollout_step>& steps);
  /// Why \p item is changing, if it is. An engine that does not respond does
  /// not count as changing for long: others do not wait for it.
  static std::optional<change_reason> ChangingFor(time_point now,
                                                  const engine& item);
  /// Reports to the pace what changed, and how long changes took.
  void UpdatePace(time_point now, const upstream_directory& upstreams);

  std::optional<rollout_pace> pace_;
  std::map<std::string, engine> engines_;
  std::vector<weights_version> wanted_;
  /// The directory's version at which all engines were last seen to have the
  /// target weights.
  std::optional<uint64_t> settled_version_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_WEIGHTS_ROLLOUT_H_
