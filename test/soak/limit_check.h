/// \file
/// Whether upstreams get no more than the limits that they name.
#ifndef CUMINSWITCH_TEST_SOAK_LIMIT_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_LIMIT_CHECK_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "cuminswitch/Support/endpoint.h"
#include "soak/wall_time.h"

namespace cuminswitch::soak {

/// Counts, for each upstream, the requests of daemons that passed on an answer
/// with its limit. What daemons send that were disturbed is not counted.
class limit_check {
 public:
  struct arrival {
    std::string upstream;
    /// Where the daemon that sent it takes callers.
    endpoint daemon;
    wall_time at{};
    double rate = 0;
  };

  /// A caller got an answer of \p upstream that names a limit.
  void OnTold(const endpoint& daemon,
              const std::string& upstream,
              wall_time at);
  /// A request reached an upstream that names a limit. Returns what is wrong,
  /// if it is one too many.
  std::optional<std::string> OnArrival(const arrival& item);
  size_t counted() const { return counted_; }

 private:
  std::map<std::pair<endpoint, std::string>, wall_time> told_;
  /// Of the last 4 s.
  struct counted_arrivals {
    double rate = 0;
    std::deque<wall_time> at;
  };

  std::map<std::string, counted_arrivals> arrivals_;
  size_t counted_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_LIMIT_CHECK_H_
