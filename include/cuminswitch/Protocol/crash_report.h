/// \file
/// Reports by which daemons detect requests that crash the upstreams that run
/// them.
#ifndef CUMINSWITCH_PROTOCOL_CRASH_REPORT_H_
#define CUMINSWITCH_PROTOCOL_CRASH_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Identifies one run of an upstream's process.
inline uint64_t UpstreamStartId(uint64_t name_hash, uint64_t started) {
  return CombineHash(name_hash, started);
}

/// The topmost bits of a digest tell parts of prompts from requests, so that
/// reports and records need not state the kind.
inline constexpr uint64_t kPartDigestMask = 0xffffULL << 48;
inline constexpr uint64_t kRequestDigestMask = UINT64_MAX >> 1;

/// Whether \p digest is that of a part of a prompt, not of a request.
constexpr bool IsPartDigest(const hash128& digest) {
  return (digest.high & kPartDigestMask) == kPartDigestMask;
}

/// Returns the digest of the part \p id of prompts for \p service. It depends
/// neither on the other parts nor on the position.
inline hash128 DigestPart(std::string_view service, std::string_view id) {
  const hash128 hash = Hash128(id, Hash64(service));
  return {.high = hash.high | kPartDigestMask, .low = hash.low};
}

/// Returns the digest of a request with the hash \p hash.
constexpr hash128 ToRequestDigest(const hash128& hash) {
  return {.high = hash.high & kRequestDigestMask, .low = hash.low};
}

/// The connection to an upstream was lost while it executed a request, as
/// happens when the upstream crashes.
struct crash_report {
  /// Digest of the request.
  hash128 request;
  /// See `UpstreamStartId`.
  uint64_t upstream = 0;
  /// Time since the connection was lost.
  duration age{0};
  /// Time from when the request was sent until the connection was lost.
  duration took{0};
};

/// An upstream completed the execution of a request.
struct completion_report {
  hash128 request;
  /// Time since the request was sent.
  duration age{0};
};

/// An upstream that a daemon regards as crashed responded.
struct response_report {
  /// As `crash_report::upstream`.
  uint64_t upstream = 0;
  /// Time since what it responded to was sent.
  duration age{0};
};

/// Exchanged between daemons about requests that may crash upstreams.
struct quarantine_update {
  std::vector<crash_report> crashes;
  std::vector<completion_report> completions;
  std::vector<response_report> responses;
  bool IsEmpty() const {
    return crashes.empty() && completions.empty() && responses.empty();
  }
};

/// A quarantined request, which is sent to no upstream until the time is over.
struct quarantine_record {
  hash128 request;
  duration time_left{0};
};

/// How a daemon learnt of a crash.
enum class crash_source : uint8_t { kOwn, kPeer, kStore };

/// The quarantine state of a request changed.
struct quarantine_event {
  enum class kind : uint8_t {
    /// One more upstream crashed while executing it.
    kSuspected,
    /// It is sent to no upstream from now on.
    kQuarantined,
    /// An upstream turned out to be alive, or an execution was completed.
    kCleared,
  };
  kind what = kind::kSuspected;
  hash128 request;
  /// Number of upstreams that are counted as crashed by it.
  size_t crashes = 0;
  /// Source of the crash; meaningless for `kCleared`.
  crash_source source = crash_source::kOwn;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_CRASH_REPORT_H_
