// Runs scenario files. One command per line; `#` begins a comment.
//
//   world [hosts N] [shards N] [seed N] [retention SECONDS]
//   engine NAME in DOMAIN serves MODEL      service NAME in DOMAIN serves NAME
//   submit [base N] [as ID] [conflicts]
//        submits a configuration of all upstreams added so far; with
//        `conflicts`, it may be rejected
//   version V                   sets the model version of later submissions
//   start HOST | all            kill HOST | all
//   freeze HOST | all           thaw HOST | all
//   stop HOST | all             stops gracefully
//   cut A B                     heal A B         hosts, upstreams, `platform`
//   platform down | up | slow MILLIS | lose N | lose-operator N
//   upstream NAME serve | down | break | busy | leave | crash | takes MILLIS |
//            loads VERSION
//   send REQUEST to HOST for TARGET [key K] [body TEXT] [age SECONDS]
//        [within MILLIS] [first]      `first`: marked as a first attempt
//   let NAME owner | other      binds $NAME to the running host that owns shard
//                               0, or to the first one that does not
//   run MILLIS                  advances the virtual clock
//   wait MILLIS until CONDITION
//   expect [not] CONDITION
//
// Conditions: REQUEST answered | not_run | unknown | ended,
//   REQUEST answer TEXT, REQUEST runs N, REQUEST faster-than MILLIS,
//   REQUEST retry-after, key K runs N, generation HOST N, members HOST N,
//   owners N (every shard has one), HOST stopped, platform-calls below N,
//   false-deaths N
#ifndef CUMINSWITCH_TEST_SCENARIO_SCRIPT_H_
#define CUMINSWITCH_TEST_SCENARIO_SCRIPT_H_

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "Scenario/world.h"

namespace cuminswitch {

/// Thrown for a line that cannot be parsed or an expectation that fails; the
/// message contains the line and its number.
class script_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Runs scenarios line by line.
class script {
 public:
  /// Runs one line; \p number is the line number in error messages. Throws
  /// `script_error`.
  void RunLine(const std::string& line, size_t number);
  /// Runs a whole scenario, lets 30 s of virtual time pass, and checks that
  /// every request has ended. Throws `script_error` for a line that fails and
  /// `guarantee_violation` otherwise.
  void Run(const std::string& text);
  /// Returns the world. Throws `script_error` before the `world` line.
  world& GetWorld();

 private:
  using words = std::vector<std::string>;

  void MakeWorld(const words& line);
  void AddUpstream(const words& line);
  void Submit(const words& line);
  /// Applies \p action to the host that the line names, or to all hosts.
  void ForHosts(const words& line, void (world::*action)(const std::string&));
  void SetPlatform(const words& line);
  void SetUpstream(const words& line);
  void Send(const words& line);
  void Bind(const words& line);
  /// Replaces each $NAME by the host bound to it.
  void Substitute(words& line) const;
  void Wait(const words& line);
  void Expect(const words& line);
  bool Holds(const words& condition);
  bool RequestHolds(const words& condition);

  std::unique_ptr<world> world_;
  std::map<std::string, std::string> bound_;
  size_t submissions_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_TEST_SCENARIO_SCRIPT_H_
