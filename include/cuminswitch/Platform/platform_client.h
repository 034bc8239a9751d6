/// \file
/// Client of the platform's key-value service, over HTTP.
#ifndef CUMINSWITCH_PLATFORM_PLATFORM_CLIENT_H_
#define CUMINSWITCH_PLATFORM_PLATFORM_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <unordered_map>

#include "cuminswitch/Net/http_client.h"
#include "cuminswitch/Protocol/platform_call.h"

namespace cuminswitch {

/// Makes calls on one event loop. A call that gets no complete response in time
/// ends with `kNoReply`. It is never retried here, since only the caller knows
/// whether that is safe.
class platform_client {
 public:
  struct options {
    endpoint address;
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds call_timeout{1500};
    /// How long the service may delay its response to a watch.
    std::chrono::milliseconds watch_time{20'000};
  };
  using reply_callback = std::function<void(const platform_reply&)>;

  platform_client(event_base* base, const options& opts);
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;
  ~platform_client();

  void Call(const platform_call& call, reply_callback on_reply);

 private:
  class pending_call;

  options options_;
  http_client client_;
  std::unordered_map<pending_call*, std::unique_ptr<pending_call>> pending_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PLATFORM_PLATFORM_CLIENT_H_
