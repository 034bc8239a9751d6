#include "cuminswitch/Edge/contact_monitor.h"

#include <utility>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Upstreams probed at once, so that a few that have crashed do not look like a
/// partition.
static constexpr size_t kProbes = 3;

contact_monitor::contact_monitor(event_base* base,
                                 upstream_pool& pool,
                                 uint64_t seed,
                                 std::function<void()> on_change)
    : prober_(base,
              pool,
              [this](bool has_response) { OnProbesEnded(has_response); }),
      seed_(seed),
      on_change_(std::move(on_change)) {}

void contact_monitor::ProbeIfDue(time_point now,
                                 std::span<const upstream_ref> upstreams,
                                 const std::string& target) {
  if (!IsProbeDue(now) || upstreams.empty()) {
    return;
  }
  contact_.OnProbesSent(now);
  sent_at_ = now;
  prober_.Start(ChooseProbeTargets(upstreams, contact_.failed(), kProbes,
                                   CombineHash(seed_, ++rounds_)),
                target);
}

void contact_monitor::OnProbesEnded(bool has_response) {
  if (has_response) {
    contact_.OnResponse(sent_at_, true);
  } else {
    contact_.OnProbesFailed(sent_at_);
  }
  on_change_();
}

}  // namespace cuminswitch
