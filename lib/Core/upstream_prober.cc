#include "cuminswitch/Core/upstream_prober.h"

#include <algorithm>

#include "cuminswitch/Config/configuration.h"

namespace cuminswitch {

void upstream_prober::OnConfiguration(const configuration& config) {
  std::vector<target> targets;
  for (const upstream_spec& spec : config.upstreams) {
    const auto known =
        std::find_if(targets_.begin(), targets_.end(), [&](const target& t) {
          return t.name == spec.name && t.address == spec.address;
        });
    targets.push_back({.name = spec.name,
                       .address = spec.address,
                       .probed = known != targets_.end() && known->probed});
  }
  targets_ = std::move(targets);
  next_ = 0;
}

void upstream_prober::OnTick(time_point now, action_list& out) {
  for (target& item : targets_) {
    if (!item.probed) {
      item.probed = true;
      out.push_back(
          probe_upstream{.upstream = item.name, .address = item.address});
    }
  }
  if (targets_.empty() || now < next_probe_) {
    return;
  }
  const target& item = targets_[next_++ % targets_.size()];
  out.push_back(probe_upstream{.upstream = item.name, .address = item.address});
  const double interval =
      std::max(1 / options_.max_rate, ToSeconds(options_.min_interval) /
                                          static_cast<double>(targets_.size()));
  next_probe_ = now + FromSeconds(interval);
}

}  // namespace cuminswitch
