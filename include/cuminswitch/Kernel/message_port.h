/// \file
/// Where a service takes messages of one type.
#ifndef CUMINSWITCH_KERNEL_MESSAGE_PORT_H_
#define CUMINSWITCH_KERNEL_MESSAGE_PORT_H_

namespace cuminswitch {

/// Accepts messages from any thread; they arrive in the order of each sender.
template <class Message>
class message_port {
 public:
  virtual ~message_port() = default;
  virtual void Post(Message message) = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_KERNEL_MESSAGE_PORT_H_
