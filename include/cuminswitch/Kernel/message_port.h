/// \file
/// The interface through which a service accepts messages of one type.
#ifndef CUMINSWITCH_KERNEL_MESSAGE_PORT_H_
#define CUMINSWITCH_KERNEL_MESSAGE_PORT_H_

namespace cuminswitch {

/// Accepts messages; those of one sender are delivered in the order of sending.
/// Whether any thread may call `Post` depends on the implementation.
template <class Message>
class message_port {
 public:
  virtual ~message_port() = default;
  virtual void Post(Message message) = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_KERNEL_MESSAGE_PORT_H_
