/// \file
/// Schedules the load-report probes of upstreams.
#ifndef CUMINSWITCH_CORE_UPSTREAM_PROBER_H_
#define CUMINSWITCH_CORE_UPSTREAM_PROBER_H_

#include <string>
#include <vector>

#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

struct configuration;

/// Probes upstreams round-robin at a bounded rate, so that the cost per daemon
/// stays constant as upstreams are added. New upstreams are probed first.
class upstream_prober {
 public:
  struct options {
    /// Maximum number of probes per second.
    double max_rate = 25;
    /// Minimum time between two probes of one upstream.
    duration min_interval = std::chrono::milliseconds(500);
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
