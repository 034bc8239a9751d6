#include "cuminswitch/Edge/upstream_prober.h"

#include <utility>

#include "cuminswitch/Edge/response_probe.h"
#include "cuminswitch/Http1/upstream_pool.h"

namespace cuminswitch {

upstream_prober::upstream_prober(event_base* base,
                                 upstream_pool& pool,
                                 end_handler on_end)
    : pool_(pool),
      on_end_(std::move(on_end)),
      timer_(base, [this] { OnRoundEnded(); }) {}

upstream_prober::~upstream_prober() = default;

void upstream_prober::Start(std::span<const endpoint> upstreams,
                            const std::string& target) {
  is_running_ = true;
  has_response_ = false;
  pending_ = upstreams.size();
  timer_.Start(response_probe::kTimeout);
  for (const endpoint& to : upstreams) {
    probes_.push_back(std::make_unique<response_probe>(
        pool_,
        upstream_request{.to = to,
                         .method = "GET",
                         .target = target,
                         .headers = {{.name = "Host", .value = to.ToString()}},
                         .connect_timeout = response_probe::kTimeout},
        [this](std::optional<uint32_t> status) {
          OnProbeEnded(status.has_value());
        }));
  }
}

void upstream_prober::OnProbeEnded(bool has_response) {
  --pending_;
  has_response_ = has_response_ || has_response;
  if (has_response_ || pending_ == 0) {
    // A probe must not be destroyed in its own callback.
    timer_.Start(std::chrono::milliseconds(0));
  }
}

void upstream_prober::OnRoundEnded() {
  probes_.clear();
  is_running_ = false;
  on_end_(has_response_);
}

}  // namespace cuminswitch
