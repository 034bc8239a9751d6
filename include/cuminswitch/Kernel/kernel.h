/// \file
/// The micro-kernel: a registry of services by name, and the order in which
/// they start and stop.
#ifndef CUMINSWITCH_KERNEL_KERNEL_H_
#define CUMINSWITCH_KERNEL_KERNEL_H_

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Kernel/message_port.h"
#include "cuminswitch/Kernel/service.h"

namespace cuminswitch {

/// Owns the services of a process.
class kernel {
 public:
  kernel() = default;
  kernel(const kernel&) = delete;
  kernel& operator=(const kernel&) = delete;
  ~kernel();

  /// Adds a service; it starts after those added before it.
  void Register(std::unique_ptr<service> item);
  /// Returns the service; throws `std::out_of_range` for an unknown name.
  service& Find(std::string_view name) const;
  /// Returns the service's port for \p Message. Throws `std::out_of_range`
  /// for an unknown name and `std::logic_error` when the service does not
  /// accept messages of this type.
  template <class Message>
  message_port<Message>& FindPort(std::string_view name) const {
    auto* port = dynamic_cast<message_port<Message>*>(&Find(name));
    if (port == nullptr) {
      throw std::logic_error("service " + std::string(name) +
                             " accepts no message of this type");
    }
    return *port;
  }

  /// Starts all services in order. When one throws, stops those already started
  /// and rethrows.
  void StartAll();
  /// Stops the started services in reverse order.
  void StopAll();

 private:
  std::vector<std::unique_ptr<service>> services_;
  size_t started_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_KERNEL_KERNEL_H_
