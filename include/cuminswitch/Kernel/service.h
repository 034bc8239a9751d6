/// \file
/// The interface of the named services that make up a process.
#ifndef CUMINSWITCH_KERNEL_SERVICE_H_
#define CUMINSWITCH_KERNEL_SERVICE_H_

#include <string_view>

namespace cuminswitch {

/// A component that the kernel starts, finds by name and stops.
class service {
 public:
  virtual ~service() = default;
  virtual std::string_view Name() const = 0;
  /// Starts the service. Throws when it cannot start, for example `bind_error`.
  virtual void Start() = 0;
  /// Stops the service and joins its thread, if any. Called once, after
  /// `Start`.
  virtual void Stop() = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_KERNEL_SERVICE_H_
