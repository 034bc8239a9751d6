#include "cuminswitch/Edge/upstream_prober.h"

#include <utility>

#include "cuminswitch/Http1/upstream_pool.h"

namespace cuminswitch {

/// A probe needs no free slot at its upstream, so it is responded to within a
/// few round trips.
static constexpr std::chrono::milliseconds kProbeTimeout{400};

class upstream_prober::probe : private upstream_handler {
 public:
  probe(upstream_prober& owner, const upstream_request& request)
      : owner_(owner), call_(owner.pool_.Start(request, *this)) {}

 private:
  void OnResponseHead(const message_head& /*head*/) override { End(true); }
  void OnResponseBody(std::string_view /*data*/) override {}
  void OnCallEnd(upstream_call_result /*result*/) override { End(false); }

  void End(bool has_response) {
    if (!std::exchange(has_ended_, true)) {
      owner_.OnProbeEnded(has_response);
    }
  }

  upstream_prober& owner_;
  bool has_ended_ = false;
  std::unique_ptr<upstream_call> call_;
};

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
  timer_.Start(kProbeTimeout);
  for (const endpoint& to : upstreams) {
    probes_.push_back(std::make_unique<probe>(
        *this,
        upstream_request{.to = to,
                         .method = "GET",
                         .target = target,
                         .headers = {{.name = "Host", .value = to.ToString()}},
                         .connect_timeout = kProbeTimeout}));
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
