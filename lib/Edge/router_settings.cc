#include "cuminswitch/Edge/router_settings.h"

namespace cuminswitch {

/// Parts of the platform's bound on retries: what a daemon earns, and what the
/// process after it earns while those retries still count.
static constexpr double kRetryShareUsed = 0.8;
static constexpr double kRetryStartShareUsed = 1 - kRetryShareUsed;
/// The rest covers retries that other daemons do not know of yet.
static constexpr double kRetryBurstUsed = 0.7;
/// Margin to the end of the time in which old weights may be used, not counting
/// the wait in an engine's queue.
static constexpr duration kOldWeightsMargin = std::chrono::milliseconds(800);
/// An attempt on old weights that has not begun this long before the bound is
/// cancelled. The bound counts from a reply of the store that a peer may have
/// relayed, which looks more recent than it is by the delay of its messages.
static constexpr duration kStartLimitMargin = std::chrono::milliseconds(600);
/// Time after a publication from which engines with new weights are preferred;
/// responses of old weights lose value from 1.5 s after the publication.
static constexpr duration kOldWeightsGrace = std::chrono::milliseconds(1500);
/// Number of prefixes in the index, including those that belong to one prompt:
/// about 3 MB, and half a minute of the traffic of the largest deployment.
static constexpr size_t kPrefixCapacity = 16'384;

request_router::options MakeRouterOptions(const router_settings& opts) {
  request_router::options options;
  options.self.host = opts.self.name;
  options.self.incarnation = opts.self.incarnation;
  options.self.failure_domain = opts.self.failure_domain;
  options.prefix_capacity = kPrefixCapacity;
  options.random_seed = opts.self.incarnation;
  options.retries = {.share = opts.retry_share * kRetryShareUsed,
                     .start_share = opts.retry_share * kRetryStartShareUsed,
                     .burst = opts.retry_burst * kRetryBurstUsed,
                     .is_shared = true,
                     .started_at = opts.now};
  options.replicas = {
      .old_weights_time = opts.old_weights_time - kOldWeightsMargin,
      .old_weights_grace = kOldWeightsGrace,
      // A version that was published before the start counts as published so
      // long ago that the weights it superseded may not be used.
      .first_version_since = opts.now - opts.old_weights_time,
      .old_weights_limit = opts.old_weights_time - kStartLimitMargin};
  options.refuse_without_upstream = true;
  options.reports_placements = true;
  options.is_capacity_scarce = opts.is_capacity_scarce;
  options.quarantine.keeps_events = true;
  return options;
}

}  // namespace cuminswitch
