/// \file
/// One probe of an upstream.
#ifndef CUMINSWITCH_EDGE_RESPONSE_PROBE_H_
#define CUMINSWITCH_EDGE_RESPONSE_PROBE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "cuminswitch/Http1/upstream_call.h"

namespace cuminswitch {

class upstream_pool;

/// A request for which only the head of the response matters. The owner ends it
/// when it has waited for `kTimeout`.
class response_probe : private upstream_handler {
 public:
  /// A probe needs no free slot at its upstream, so it is responded to within a
  /// few round trips.
  static constexpr std::chrono::milliseconds kTimeout{400};

  /// \p status: of the response; nothing if there was none. The probe must not
  /// be destroyed within the call.
  using end_handler = std::function<void(std::optional<uint32_t> status)>;

  response_probe(upstream_pool& pool,
                 const upstream_request& request,
                 end_handler on_end);
  ~response_probe() override;

 private:
  void OnResponseHead(const message_head& head) override;
  void OnResponseBody(std::string_view data) override;
  void OnCallEnd(upstream_call_result end) override;
  void End(std::optional<uint32_t> status);

  end_handler on_end_;
  bool has_ended_ = false;
  std::unique_ptr<upstream_call> call_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_RESPONSE_PROBE_H_
