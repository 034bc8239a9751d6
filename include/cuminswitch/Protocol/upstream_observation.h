/// \file
/// What daemons report to one another about the upstreams that they use.
#ifndef CUMINSWITCH_PROTOCOL_UPSTREAM_OBSERVATION_H_
#define CUMINSWITCH_PROTOCOL_UPSTREAM_OBSERVATION_H_

#include <cstdint>
#include <string_view>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// How an upstream did not take a request; in each case the request did not
/// run.
enum class upstream_refusal : uint8_t {
  kNone,
  /// It has no capacity, or is changing its weights.
  kBusy,
  /// It is another process than expected, or has other weights.
  kMismatch,
  /// No connection could be established.
  kUnreachable,
};

inline constexpr upstream_refusal kLastUpstreamRefusal =
    upstream_refusal::kUnreachable;

/// The last response of an upstream to one daemon.
struct upstream_observation {
  /// Hash of the upstream's name.
  uint64_t upstream = 0;
  /// The upstream's incarnation as the observer knew it, shortened as in
  /// `placed_prefix`.
  uint64_t incarnation = 0;
  duration age{0};
  /// The upstream's own counts of requests; valid if `slots` is not 0.
  uint32_t running = 0;
  uint32_t waiting = 0;
  /// Requests that it runs concurrently; 0 if it did not state its load.
  uint32_t slots = 0;
  /// Time that work takes on its machine at the moment, as a percentage of the
  /// usual time; 0 if it did not state it.
  uint32_t work_percent = 0;
  upstream_refusal refusal = upstream_refusal::kNone;

  friend bool operator==(const upstream_observation&,
                         const upstream_observation&) = default;
};

/// Returns the name of \p value in the log.
constexpr std::string_view ToString(upstream_refusal value) {
  switch (value) {
    case upstream_refusal::kNone:
      return "none";
    case upstream_refusal::kBusy:
      return "busy";
    case upstream_refusal::kMismatch:
      return "mismatch";
    case upstream_refusal::kUnreachable:
      return "unreachable";
  }
  return "none";
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_UPSTREAM_OBSERVATION_H_
