/// \file
/// A whole daemon, put together from its settings.
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

  /// Starts all tasks. Throws `bind_error` when an address is taken.
  void Start();
  /// Begins a graceful stop: leaves the address answers, takes requests for
  /// as long as those answers live, finishes what runs.
  void BeginStop();
  /// Ends all tasks at once.
  void Stop();

 private:
  kernel kernel_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_ROUTER_DAEMON_H_
