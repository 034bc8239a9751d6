/// \file
/// When to ask each upstream for its load report.
#ifndef CUMINSWITCH_CORE_UPSTREAM_PROBER_H_
#define CUMINSWITCH_CORE_UPSTREAM_PROBER_H_

#include <string>
#include <vector>

#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

struct configuration;

/// Probes upstreams in turn at a bounded rate, so that the cost per daemon
/// stays flat as upstreams are added. New upstreams go first.
class upstream_prober {
 public:
  struct options {
    /// Probes per second at most.
    double max_rate = 25;
    /// Least time between two probes of one upstream.
    duration least_interval = std::chrono::milliseconds(500);
  };

  explicit upstream_prober(const options& opts) : options_(opts) {}

  void OnConfiguration(const configuration& config);
  void OnTick(time_point now, action_list& out);

 private:
  struct target {
    std::string name;
    endpoint address;
    bool probed = false;
  };

  options options_;
  std::vector<target> targets_;
  size_t next_ = 0;
  time_point next_probe_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CORE_UPSTREAM_PROBER_H_
