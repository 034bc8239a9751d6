/// \file
/// Checks that callers of daemons that are partitioned from all upstreams are
/// served.
#ifndef CUMINSWITCH_TEST_SOAK_PARTITION_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_PARTITION_CHECK_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "cuminswitch/Support/endpoint.h"
#include "soak/steady_time.h"

namespace cuminswitch::soak {

/// Compares the requests at partitioned daemons with those at the others, from
/// `contact-ms` after the partition began until its end.
class partition_check {
 public:
  /// Records that the daemons with these caller addresses are partitioned.
  void OnBegin(std::set<endpoint> partitioned, steady_time at);
  /// Records the end of a request that was sent to an undisturbed \p daemon.
  void OnResponse(const endpoint& daemon, steady_time sent_at, bool is_served);
  /// Records the end of the partition. Returns a description of the violation
  /// if too few requests at partitioned daemons, or at the others, were served.
  std::optional<std::string> OnEnd();
  /// Requests at partitioned daemons that were compared.
  size_t counted() const { return counted_; }

 private:
  struct tally {
    size_t sent = 0;
    size_t served = 0;

    bool HasTooManyFailures() const;
  };

  std::set<endpoint> partitioned_;
  steady_time begun_at_{};
  tally cut_;
  tally others_;
  size_t counted_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_PARTITION_CHECK_H_
