/// \file
/// Checks that requests with a prompt part that crashes upstreams stop reaching
/// them, and that the requests beside them are served.
#ifndef CUMINSWITCH_TEST_SOAK_PART_CRASH_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_PART_CRASH_CHECK_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "soak/steady_time.h"

namespace cuminswitch::soak {

/// Collects the arrivals and crashes of each crashing part, and the sound
/// requests that share its callers and their first part. Compares them at the
/// end, since the logs of upstreams are read with a delay.
class part_crash_check {
 public:
  /// Records that callers send requests with \p part from \p at on; empty if
  /// they stop.
  void OnPhase(const std::string& part, steady_time at);
  /// Records that a request with \p part reached an upstream at \p at.
  void OnArrival(const std::string& part,
                 bool is_daemon_undisturbed,
                 steady_time at);
  /// Records that an upstream crashed under a request with \p part.
  void OnCrash(const std::string& part, steady_time at);
  /// Records the end of a sound request that an undisturbed daemon received on
  /// \p route.
  void OnResponse(const std::string& route,
                  steady_time sent_at,
                  bool is_served);
  /// Returns descriptions of the violations.
  std::vector<std::string> ListLateArrivals() const;
  std::vector<std::string> ListLosses() const;

  /// Crashes and late arrivals at undisturbed daemons, of all parts.
  size_t crashes() const;
  size_t late() const;
  /// Sound requests that were compared with those without disruption.
  size_t compared() const;

 private:
  struct arrival {
    steady_time at{};
    bool is_daemon_undisturbed = false;
  };

  struct part_history {
    std::vector<arrival> arrivals;
    std::vector<steady_time> crashes;
  };

  struct phase {
    std::string part;
    steady_time begin{};
    steady_time end = steady_time::max();
  };

  struct response {
    std::string route;
    steady_time sent_at{};
    bool is_served = false;
  };

  struct tally {
    size_t sent = 0;
    size_t served = 0;
  };

  /// Returns when the fifth crash under \p part was, or the last one if there
  /// were fewer; empty without crashes.
  std::optional<steady_time> LastAllowedCrash(const std::string& part) const;
  size_t CountLate(const std::string& part) const;
  /// Counts the responses on each route sent from \p begin until \p end.
  std::map<std::string, tally> Count(steady_time begin, steady_time end) const;
  /// Counts the responses during \p item for which the bound holds.
  std::map<std::string, tally> CountDuring(const phase& item) const;
  /// Counts the responses outside all phases and some time after them.
  std::map<std::string, tally> CountOutside() const;

  std::map<std::string, part_history> parts_;
  std::vector<phase> phases_;
  std::vector<response> responses_;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_PART_CRASH_CHECK_H_
