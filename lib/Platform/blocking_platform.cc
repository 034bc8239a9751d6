#include "cuminswitch/Platform/blocking_platform.h"

#include <event2/event.h>

#include <memory>

namespace cuminswitch {

struct base_deleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

platform_reply blocking_platform::Call(const platform_call& call) {
  const std::unique_ptr<event_base, base_deleter> base(event_base_new());
  platform_reply result;
  {
    platform_client client(base.get(), options_);
    client.Call(call, [&](const platform_reply& reply) {
      result = reply;
      event_base_loopbreak(base.get());
    });
    event_base_dispatch(base.get());
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
  }
  return result;
}

platform_reply blocking_platform::Read(const std::string& key) {
  return Call({.operation = platform_operation::kRead, .key = key});
}

platform_reply blocking_platform::CompareAndSwap(const std::string& key,
                                                 const std::string& value,
                                                 revision_number expected) {
  return Call({.operation = platform_operation::kCompareAndSwap,
               .key = key,
               .value = value,
               .expected = expected});
}

}  // namespace cuminswitch
