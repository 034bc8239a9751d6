/// \file
/// Checks that daemons obey the feedback of upstreams: requested backoff and
/// announced departures.
#ifndef CUMINSWITCH_TEST_SOAK_FEEDBACK_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_FEEDBACK_CHECK_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Support/endpoint.h"
#include "soak/steady_time.h"

namespace cuminswitch::soak {

/// A request of an undisturbed daemon that reached an upstream.
struct feedback_arrival {
  std::string upstream;
  /// The caller address of the daemon that sent it.
  endpoint daemon;
  steady_time at{};
  /// When the daemon was last restarted or resumed. Feedback that it received
  /// before that is not checked.
  steady_time undisturbed_since{};
};

/// Functions that check a request return a description of the violation, if
/// there is one. The caller leaves out requests of daemons that were disturbed
/// by a fault.
class feedback_check {
 public:
  /// Records that an upstream refused a request and asked the daemon that sent
  /// it for \p backoff.
  std::optional<std::string> OnBackoffRequested(
      const feedback_arrival& item,
      std::chrono::milliseconds backoff);
  /// Records that a caller received a response of \p upstream that announces
  /// its departure.
  void OnLeavingForwarded(const endpoint& daemon,
                          const std::string& upstream,
                          steady_time at);
  /// Records that a request reached an upstream that announces its departure.
  std::optional<std::string> OnLeavingArrival(const feedback_arrival& item);
  /// Requests checked so far.
  size_t counted() const { return counted_; }

 private:
  using daemon_and_upstream = std::pair<endpoint, std::string>;
  struct backoff_period {
    steady_time from{};
    steady_time until{};
    /// Requests that were not sent yet when it began and arrived before its
    /// end.
    int arrivals = 0;
  };

  std::map<daemon_and_upstream, std::vector<backoff_period>> backoffs_;
  std::map<daemon_and_upstream, std::vector<steady_time>> leaving_forwarded_;
  size_t counted_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_FEEDBACK_CHECK_H_
