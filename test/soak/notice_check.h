/// \file
/// Whether daemons heed what upstreams say of themselves.
#ifndef CUMINSWITCH_TEST_SOAK_NOTICE_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_NOTICE_CHECK_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Support/endpoint.h"
#include "soak/wall_time.h"

namespace cuminswitch::soak {

/// A request of an undisturbed daemon that reached an upstream.
struct notice_arrival {
  std::string upstream;
  /// Where the daemon that sent it takes callers.
  endpoint daemon;
  wall_time at{};
  /// Since when nothing has disturbed the daemon. What was told before binds it
  /// no more: a restart or a pause since then excuses it.
  wall_time calm_since{};
};

/// Each call returns what is wrong, if anything is. What daemons send that were
/// disturbed is not counted.
class notice_check {
 public:
  /// An upstream refused a request and asks its daemon for \p rest.
  std::optional<std::string> OnBackoffRequested(const notice_arrival& item,
                                                std::chrono::milliseconds rest);
  /// A caller got an answer of \p upstream that says that it leaves.
  void OnLeavingTold(const endpoint& daemon,
                     const std::string& upstream,
                     wall_time at);
  /// A request reached an upstream that leaves.
  std::optional<std::string> OnLeavingArrival(const notice_arrival& item);
  /// Requests that were checked.
  size_t counted() const { return counted_; }

 private:
  using daemon_and_upstream = std::pair<endpoint, std::string>;
  struct rest_period {
    wall_time from{};
    wall_time until{};
    int arrivals = 0;
  };

  std::map<daemon_and_upstream, std::vector<rest_period>> rests_;
  std::map<daemon_and_upstream, std::vector<wall_time>> leaving_told_;
  size_t counted_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_NOTICE_CHECK_H_
