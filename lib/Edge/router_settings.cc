#include "cuminswitch/Edge/router_settings.h"

namespace cuminswitch {

/// Of the bound on repeats; the rest covers what other daemons cannot know.
static constexpr double kRetryShareUsed = 0.8;
static constexpr double kRetryBurstUsed = 0.7;
/// Left of the time in which old weights may be used, beyond the wait in an
/// engine's queue: a naming is learnt up to 0.8 s late where peers hand it on
/// over slow links (84 daemons). With 1.8 s, which covered the queue too, an
/// idle fleet refused all for 2 s when the leader had died just before a
/// naming.
static constexpr duration kOldWeightsMargin = std::chrono::milliseconds(1100);
/// How long a daemon that has just started uses older weights: when they were
/// superseded it does not know.
static constexpr duration kOldWeightsAfterStart =
    std::chrono::milliseconds(2300);
/// An attempt that has not begun by then is taken back, so that it does not
/// begin after the bound, counted from a naming that was learnt late.
static constexpr duration kLastStartMargin = std::chrono::milliseconds(900);
/// Engines with new weights are preferred from then on: answers of old ones
/// lose value from 1.5 s after the naming.
static constexpr duration kOldWeightsGrace = std::chrono::milliseconds(1200);
/// Prefixes remembered, own parts of prompts included; about 3 MB, and half a
/// minute of the traffic of the largest deployment.
static constexpr size_t kPrefixCapacity = 16'384;

request_router::options MakeRouterOptions(const router_settings& opts) {
  request_router::options options;
  options.self.host = opts.self.name;
  options.self.incarnation = opts.self.incarnation;
  options.self.failure_domain = opts.self.failure_domain;
  options.prefix_capacity = kPrefixCapacity;
  options.random_seed = opts.self.incarnation;
  options.retries = {.share = opts.retry_share * kRetryShareUsed,
                     .burst = opts.retry_burst * kRetryBurstUsed,
                     .is_shared = true,
                     .started_at = opts.now};
  options.replicas = {
      .old_weights_time = opts.old_weights_time - kOldWeightsMargin,
      .old_weights_grace = kOldWeightsGrace,
      .first_version_since =
          opts.now -
          (opts.old_weights_time - kOldWeightsMargin - kOldWeightsAfterStart),
      .old_weights_limit = opts.old_weights_time - kLastStartMargin};
  options.refuse_without_upstream = true;
  options.reports_placements = true;
  options.quarantine.keeps_events = true;
  return options;
}

}  // namespace cuminswitch
