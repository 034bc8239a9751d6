/// \file
/// Signs that a request crashes the upstreams that run it. The structs are one
/// family and share this header.
#ifndef CUMINSWITCH_PROTOCOL_CRASH_REPORT_H_
#define CUMINSWITCH_PROTOCOL_CRASH_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// A run broke off at an upstream, as it does where the upstream crashes.
struct crash_report {
  /// Digest of the request.
  hash128 request;
  /// Stands for the one start of the upstream.
  uint64_t upstream = 0;
  /// Since it broke off.
  duration age{0};
  /// From when it was sent until then.
  duration took{0};
};

/// A run of a request came to its end.
struct completion_report {
  hash128 request;
  /// Since it was sent.
  duration age{0};
};

/// What daemons tell one another of requests that may crash upstreams.
struct quarantine_update {
  std::vector<crash_report> crashes;
  std::vector<completion_report> completions;
  bool IsEmpty() const { return crashes.empty() && completions.empty(); }
};

/// A request that is kept away from upstreams, and for how long still.
struct quarantine_record {
  hash128 request;
  duration time_left{0};
};

/// Where a daemon knows a crash from.
enum class crash_source : uint8_t { kOwn, kPeer, kStore };

/// What is believed of a request changed.
struct quarantine_event {
  enum class kind : uint8_t {
    /// One more upstream crashed under it.
    kSuspected,
    /// It is not sent to any upstream from now on.
    kQuarantined,
    /// An upstream turned out to live, or the request ran to its end.
    kCleared,
  };
  kind what = kind::kSuspected;
  hash128 request;
  /// Upstreams that are taken to have crashed under it.
  size_t crashes = 0;
  /// Of the crash; of no meaning where it is cleared.
  crash_source source = crash_source::kOwn;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_CRASH_REPORT_H_
