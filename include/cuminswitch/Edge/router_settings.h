/// \file
/// Derives the router's options from the platform's settings.
#ifndef CUMINSWITCH_EDGE_ROUTER_SETTINGS_H_
#define CUMINSWITCH_EDGE_ROUTER_SETTINGS_H_

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The platform's settings that the router depends on.
struct router_settings {
  daemon_record self;
  /// Retries that the whole fleet may send: a share of the requests, plus a
  /// number in each window.
  double retry_share = 0;
  double retry_burst = 0;
  /// How long after the publication of a version requests may begin on older
  /// weights.
  duration old_weights_time{0};
  /// See `request_router::options`.
  bool is_capacity_scarce = false;
  /// When the daemon starts.
  time_point now{};
};

/// Returns the router's options. They keep a margin to the platform's bounds,
/// for concurrent actions of other daemons and for updates that arrive late.
request_router::options MakeRouterOptions(const router_settings& opts);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_ROUTER_SETTINGS_H_
