/// \file
/// Checks that upstreams receive no more requests than their advertised limits
/// allow.
#ifndef CUMINSWITCH_TEST_SOAK_LIMIT_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_LIMIT_CHECK_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "cuminswitch/Support/endpoint.h"
#include "soak/steady_time.h"

namespace cuminswitch::soak {

/// Counts the requests per upstream of daemons that know its limit, which is
/// when they have forwarded a response that advertises it. The caller leaves
/// out requests of daemons that were disturbed by a fault.
class limit_check {
 public:
  struct arrival {
    std::string upstream;
    /// The caller address of the daemon that sent it.
    endpoint daemon;
    steady_time at{};
    /// The advertised limit, in requests per second.
    double rate = 0;
  };

  /// Records that a caller received a response of \p upstream that advertises a
  /// limit.
  void OnLimitForwarded(const endpoint& daemon,
                        const std::string& upstream,
                        steady_time at);
  /// Records that a request reached an upstream that advertises a limit.
  /// Returns a description of the violation if the request exceeds the limit.
  std::optional<std::string> OnArrival(const arrival& item);
  /// Requests checked so far.
  size_t counted() const { return counted_; }

 private:
  std::map<std::pair<endpoint, std::string>, steady_time> forwarded_;
  /// Arrivals in the last `kLimitWindow`, 4 s, under one limit.
  struct recent_arrivals {
    double rate = 0;
    std::deque<steady_time> at;
  };

  std::map<std::string, recent_arrivals> arrivals_;
  size_t counted_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_LIMIT_CHECK_H_
