/// \file
/// Assembles a daemon from its settings.
#ifndef CUMINSWITCH_DAEMON_ROUTER_DAEMON_H_
#define CUMINSWITCH_DAEMON_ROUTER_DAEMON_H_

#include <functional>

#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Settings/daemon_settings.h"

namespace cuminswitch {

/// Runs the tasks of one entry host.
class router_daemon {
 public:
  /// \p on_stop_ready is called from another thread once a graceful stop is
  /// complete.
  router_daemon(const daemon_settings& settings,
                std::function<void()> on_stop_ready);

  /// Starts all tasks. Throws `bind_error` when an address cannot be bound.
  void Start();
  /// Begins a graceful stop: this host is no longer included in address
  /// responses, but accepts requests until the responses already given out
  /// expire, then finishes the running requests.
  void BeginStop();
  /// Stops all tasks immediately.
  void Stop();

 private:
  kernel kernel_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_ROUTER_DAEMON_H_
