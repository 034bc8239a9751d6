/// \file
/// Tells hosts that are lost from hosts whose process does not read.
#ifndef CUMINSWITCH_LIB_HTTP1_HOST_PROBER_H_
#define CUMINSWITCH_LIB_HTTP1_HOST_PROBER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>

#include "cuminswitch/Support/endpoint.h"

struct event_base;

namespace cuminswitch {

/// Opens connections that carry nothing: the kernel of a host accepts them even
/// if the process that listens is stopped, and a lost host accepts none. All
/// connections to an address share one probe.
class host_prober {
 public:
  enum class verdict : uint8_t { kUnknown, kLives, kLost };
  using time_point = std::chrono::steady_clock::time_point;

  explicit host_prober(event_base* base);
  host_prober(const host_prober&) = delete;
  host_prober& operator=(const host_prober&) = delete;
  ~host_prober();

  /// Returns what the latest probe of \p to showed, and starts one if that is
  /// out of date. A probe that began before \p silent_since, when \p to last
  /// acknowledged something, never shows that it is lost.
  verdict Ask(const endpoint& to, time_point silent_since);

 private:
  class probe;

  void Trim(time_point now);

  event_base* base_;
  std::map<endpoint, std::unique_ptr<probe>> probes_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_HTTP1_HOST_PROBER_H_
