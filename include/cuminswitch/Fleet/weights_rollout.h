/// \file
/// Brings engines to the weights that the operators want.
#ifndef CUMINSWITCH_FLEET_WEIGHTS_ROLLOUT_H_
#define CUMINSWITCH_FLEET_WEIGHTS_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/fleet_snapshot.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class upstream_directory;

/// What an engine says of itself.
struct engine_report {
  bool is_busy = false;
  /// Orders that it has accepted since its start.
  uint64_t accepted_orders = 0;
  /// When it started, as its entry tells it; 0 where it does not say.
  uint64_t started = 0;
  std::vector<weights_version> weights;
};

/// How an order to an engine ended.
enum class command_result : uint8_t {
  kAccepted,
  /// It has these weights already.
  kAlreadyApplied,
  /// Another order is in progress, or the engine is not as was expected.
  kConflict,
  /// The engine will not do it.
  kRejected,
  /// No answer: it may be carried out, even seconds later.
  kUnknown,
};

std::string_view ToString(command_result value);

/// A question to an engine, or an order where `order` is set.
struct rollout_step {
  std::string upstream;
  endpoint address;
  struct weights_command {
    weights_version weights;
    /// Carry it out only if the engine has accepted so many orders.
    uint64_t accepted_orders = 0;
  };
  std::optional<weights_command> command;
};

/// Decides, for the leader, which engine changes its weights when. Each engine
/// is asked for its state first; an order then names that state, so that one
/// that is carried out late cannot undo a newer one. Opens nothing and reads
/// no clock.
class weights_rollout {
 public:
  /// Engines of one service that change at a time: a fifth, and at least
  /// three, since with fewer the last of a dozen is late. More at once make
  /// each change take longer, and take more of the service away.
  static constexpr size_t kMinConcurrentChanges = 3;
  static constexpr size_t kConcurrentChangesDivisor = 5;

  /// Returns what to do now; only the leader may call it.
  std::vector<rollout_step> OnTick(time_point now,
                                   std::span<const weights_version> wanted,
                                   const upstream_directory& upstreams);
  /// Takes in an answer, or its absence, and returns the next step.
  std::optional<rollout_step> OnReport(
      time_point now,
      const std::string& upstream,
      const std::optional<engine_report>& report);
  void OnCommandResult(time_point now,
                       const std::string& upstream,
                       command_result end);
  /// Upstreams that should get no requests for the moment.
  std::vector<std::string> ListChanging() const;
  /// The lead is lost; nothing is under way any more.
  void Clear();

 private:
  enum class stage : uint8_t { kIdle, kQuerying, kCommanded, kChanging };
  struct engine {
    stage at = stage::kIdle;
    std::string service;
    endpoint address;
    /// The start of the engine that all this is about.
    uint64_t started = 0;
    weights_version wanted;
    time_point next_step{};
    time_point since{};
  };

  /// An engine with older weights than are wanted.
  struct outdated {
    upstream_ref entry;
    weights_version wanted;
    uint64_t version = 0;
  };

  std::optional<outdated> FindOutdated(const upstream_ref& entry) const;
  /// Lists engines that live, those with the oldest weights first: versions
  /// may be named faster than all engines change, and the time in which a
  /// version may still be used runs from the naming of the next.
  std::vector<outdated> ListOutdated(const upstream_directory& upstreams) const;
  /// Forgets engines that are as wanted, gone, or started anew.
  void DropFinished(const upstream_directory& upstreams);

  std::map<std::string, engine> engines_;
  std::vector<weights_version> wanted_;
  /// The directory's version when all engines were last seen to be as wanted.
  std::optional<uint64_t> settled_version_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_WEIGHTS_ROLLOUT_H_
