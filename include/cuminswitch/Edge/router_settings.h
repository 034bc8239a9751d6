/// \file
/// How the router is set up on the platform.
#ifndef CUMINSWITCH_EDGE_ROUTER_SETTINGS_H_
#define CUMINSWITCH_EDGE_ROUTER_SETTINGS_H_

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// What the platform's settings say that the router depends on.
struct router_settings {
  daemon_record self;
  /// Repeats that the whole fleet may make, as a share of requests, and beyond
  /// that in any window.
  double retry_share = 0;
  double retry_burst = 0;
  /// How long after a naming requests may begin on older weights.
  duration old_weights_time{0};
  /// When the daemon starts.
  time_point now{};
};

/// Keeps margins to the platform's bounds, for what other daemons do meanwhile
/// and for news that come late.
request_router::options MakeRouterOptions(const router_settings& opts);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_ROUTER_SETTINGS_H_
