// The scenario language: one command a line, `#` begins a comment.
//
//   world [hosts N] [shards N] [seed N] [retention SECONDS]
//   engine NAME in DOMAIN serves MODEL      service NAME in DOMAIN serves NAME
//   submit [base N] [as ID]     the configuration of all upstreams so far
//   version V                   the model version of later submissions
//   start HOST | all            kill HOST | all
//   freeze HOST                 thaw HOST
//   stop HOST                   gracefully
//   cut A B                     heal A B         hosts, upstreams, `platform`
//   platform down | up | slow MILLIS | lose N | lose-operator N
//   upstream NAME serve | down | break | busy | leave | crash | takes MILLIS |
//            loads VERSION
//   send REQUEST to HOST for TARGET [key K] [body TEXT] [age SECONDS]
//        [within MILLIS] [first]      `first`: the caller never sent the key
//   let NAME owner | other      binds $NAME to the host that owns shard 0, or
//                               to the first that does not
//   run MILLIS
//   wait MILLIS until CONDITION
//   expect [not] CONDITION
//
// Conditions: REQUEST answered | not_run | unknown | ended,
//   REQUEST answer TEXT, REQUEST runs N, REQUEST faster-than MILLIS,
//   REQUEST retry-after, key K runs N, generation HOST N, members HOST N,
//   owners N (every shard has one), HOST stopped, HOST avoids UPSTREAM,
//   platform-calls below N, false-deaths N
#ifndef CUMINSWITCH_TEST_SCENARIO_SCRIPT_H_
#define CUMINSWITCH_TEST_SCENARIO_SCRIPT_H_

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "Scenario/world.h"

namespace cuminswitch {

/// Thrown for a line that cannot be read or an expectation that fails; the
/// message names the line.
class script_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Runs scenarios line by line.
class script {
 public:
  /// Runs one line; \p number is for messages.
  void RunLine(const std::string& line, size_t number);
  /// Runs a whole scenario and the checks at its end.
  void Run(const std::string& text);
  /// The world; made by the `world` line.
  world& GetWorld();

 private:
  using words = std::vector<std::string>;

  void MakeWorld(const words& line);
  void AddUpstream(const words& line);
  void Submit(const words& line);
  void ForHosts(const words& line, void (world::*action)(const std::string&));
  void SetPlatform(const words& line);
  void SetUpstream(const words& line);
  void Send(const words& line);
  void Bind(const words& line);
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
