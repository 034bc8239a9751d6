/// \file
/// Checks that requests that were passed on get a complete response.
#ifndef CUMINSWITCH_TEST_SOAK_COMPLETION_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_COMPLETION_CHECK_H_

#include <chrono>
#include <map>
#include <string>

#include "cuminswitch/Support/endpoint.h"
#include "soak/steady_time.h"

namespace cuminswitch::soak {

/// Compares when callers' connections ended without a complete response with
/// the starts and stops of their daemons. Holds at any time, not only beside
/// planned work: the silence of an upstream is no reason to end a response.
class completion_check {
 public:
  /// A request whose connection ended before its response was complete.
  struct cut_request {
    std::string id;
    endpoint daemon;
    steady_time sent_at{};
    steady_time ended_at{};
    std::chrono::milliseconds time_allowed{};
  };

  /// \p grace is the time that a stopping daemon has.
  explicit completion_check(std::chrono::milliseconds grace) : grace_(grace) {}

  /// Records a start of the daemon with this caller address.
  void OnStarted(const endpoint& daemon, steady_time at) {
    daemons_[daemon] = {.started_at = at, .work = {}};
  }
  /// Records planned work at a daemon; a stop is named "SIGTERM".
  void OnPlannedWork(const endpoint& daemon,
                     const std::string& name,
                     steady_time at) {
    daemons_[daemon].work[name] = at;
  }
  /// Keeps \p item unless the daemon had just started or was at the end of its
  /// grace, or the request had used most of its time.
  void OnCut(const cut_request& item);
  /// The violations, by request id, provided that the request was passed on.
  const std::map<std::string, std::string>& cuts() const { return cuts_; }

 private:
  struct daemon_history {
    steady_time started_at{};
    /// When each kind of work last began, since the start.
    std::map<std::string, steady_time> work;
  };

  bool IsExcused(const daemon_history& daemon, const cut_request& item) const;

  std::map<endpoint, daemon_history> daemons_;
  std::chrono::milliseconds grace_;
  std::map<std::string, std::string> cuts_;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_COMPLETION_CHECK_H_
