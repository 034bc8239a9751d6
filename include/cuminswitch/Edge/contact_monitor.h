/// \file
/// Tracks whether this daemon reaches a group of upstreams.
#ifndef CUMINSWITCH_EDGE_CONTACT_MONITOR_H_
#define CUMINSWITCH_EDGE_CONTACT_MONITOR_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>

#include "cuminswitch/Edge/upstream_contact.h"
#include "cuminswitch/Edge/upstream_prober.h"

struct event_base;

namespace cuminswitch {

class upstream_pool;

/// A contact with all upstreams, or those of one service, and the probes that
/// confirm or end a doubt about it.
class contact_monitor {
 public:
  /// \p on_change is called after each round of probes. \p seed varies the
  /// choice of the upstreams that are probed.
  contact_monitor(event_base* base,
                  upstream_pool& pool,
                  uint64_t seed,
                  std::function<void()> on_change);

  upstream_contact& contact() { return contact_; }
  const upstream_contact& contact() const { return contact_; }
  bool IsLost() const {
    return contact_.current() == upstream_contact::state::kLost;
  }
  /// Whether there is no doubt, so that no probes will be due.
  bool IsSettled() const {
    return contact_.current() == upstream_contact::state::kReached;
  }
  bool IsProbeDue(time_point now) const {
    return contact_.NeedsProbes(now) && !prober_.IsRunning();
  }
  /// Starts a round of probes at some of \p upstreams if one is due. \p target
  /// is the path of the probes.
  void ProbeIfDue(time_point now,
                  std::span<const upstream_ref> upstreams,
                  const std::string& target);

 private:
  void OnProbesEnded(bool has_response);

  upstream_contact contact_;
  upstream_prober prober_;
  uint64_t seed_;
  uint64_t rounds_ = 0;
  time_point sent_at_{};
  std::function<void()> on_change_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_CONTACT_MONITOR_H_
