/// \file
/// Probes several upstreams at once.
#ifndef CUMINSWITCH_EDGE_UPSTREAM_PROBER_H_
#define CUMINSWITCH_EDGE_UPSTREAM_PROBER_H_

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Support/endpoint.h"

struct event_base;

namespace cuminswitch {

class upstream_pool;
class response_probe;

/// Sends one round of probes at a time, each a GET on a connection of its own.
/// A round ends with the first response, whatever its status, or when all
/// probes have failed or timed out.
class upstream_prober {
 public:
  /// \p has_response: whether any upstream responded.
  using end_handler = std::function<void(bool has_response)>;

  upstream_prober(event_base* base, upstream_pool& pool, end_handler on_end);
  upstream_prober(const upstream_prober&) = delete;
  upstream_prober& operator=(const upstream_prober&) = delete;
  ~upstream_prober();

  bool IsRunning() const { return is_running_; }
  /// Starts a round; none may be running. \p target is the request's path.
  void Start(std::span<const endpoint> upstreams, const std::string& target);

 private:
  void OnProbeEnded(bool has_response);
  void OnRoundEnded();

  upstream_pool& pool_;
  end_handler on_end_;
  loop_timer timer_;
  std::vector<std::unique_ptr<response_probe>> probes_;
  size_t pending_ = 0;
  bool is_running_ = false;
  bool has_response_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_UPSTREAM_PROBER_H_
