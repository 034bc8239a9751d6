#include "cuminswitch/Edge/response_probe.h"

#include <utility>

#include "cuminswitch/Http1/upstream_pool.h"

namespace cuminswitch {

response_probe::response_probe(upstream_pool& pool,
                               const upstream_request& request,
                               end_handler on_end)
    : on_end_(std::move(on_end)), call_(pool.Start(request, *this)) {}

response_probe::~response_probe() = default;

void response_probe::OnResponseHead(const message_head& head) {
  End(head.status);
}

void response_probe::OnResponseBody(std::string_view /*data*/) {}

void response_probe::OnCallEnd(upstream_call_result /*end*/) {
  End(std::nullopt);
}

void response_probe::End(std::optional<uint32_t> status) {
  if (!std::exchange(has_ended_, true)) {
    on_end_(status);
  }
}

}  // namespace cuminswitch
