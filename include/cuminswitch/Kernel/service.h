/// \file
/// A named part of a process.
#ifndef CUMINSWITCH_KERNEL_SERVICE_H_
#define CUMINSWITCH_KERNEL_SERVICE_H_

#include <string_view>

namespace cuminswitch {

/// What the kernel starts, finds by name and stops.
class service {
 public:
  virtual ~service() = default;
  virtual std::string_view Name() const = 0;
  /// Begins to work. Throws when it cannot, for example `bind_error`.
  virtual void Start() = 0;
  /// Ends its work and joins its thread. Called once, and only after `Start`.
  virtual void Stop() = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_KERNEL_SERVICE_H_
