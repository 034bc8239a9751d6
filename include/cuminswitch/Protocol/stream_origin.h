/// \file
/// Messages between daemons about the software versions at which streams began.
/// A stream can be resumed only at the version that began it, and any daemon
/// may receive the request that resumes it.
#ifndef CUMINSWITCH_PROTOCOL_STREAM_ORIGIN_H_
#define CUMINSWITCH_PROTOCOL_STREAM_ORIGIN_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Identifies one software version of one service's upstreams.
using software_tag = uint64_t;
/// The tag of an unknown version; as a requirement, it allows any version.
inline constexpr software_tag kAnySoftware = 0;

/// Returns the tag of \p version of \p service; `kAnySoftware` if \p version is
/// empty.
software_tag SoftwareTag(std::string_view service, std::string_view version);

/// The longest time for which a stream is assumed to be resumed after it began.
inline constexpr duration kMaxStreamTime = std::chrono::minutes(1);

/// The software version at which a stream began.
struct stream_origin {
  /// The number of an upstream that resumes the stream, whose version is final.
  static constexpr uint32_t kFinal = std::numeric_limits<uint32_t>::max();
  /// Hash of the identifier of the caller's attempt that began the stream.
  uint64_t stream = 0;
  software_tag software = kAnySoftware;
  /// Number of the upstream that the attempt was sent to, counted from 1. Until
  /// the first event, a later one replaces an earlier one.
  uint32_t number = 1;
  /// Time for which the caller may still resume the stream.
  duration time_left{0};

  friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/// Tells a daemon at which versions streams began, so that it can still say so
/// when the sender cannot.
struct origin_report {
  std::vector<stream_origin> origins;
};

/// Asks a daemon at which version a stream began.
struct origin_query {
  /// Address for the reply.
  endpoint from;
  /// Identifies the query at its sender.
  uint64_t ticket = 0;
  /// See `stream_origin::stream`.
  uint64_t stream = 0;
};

struct origin_reply {
  uint64_t ticket = 0;
  /// Nothing if the sender does not know the stream.
  std::optional<stream_origin> origin;
};

/// A message that is to be sent to another daemon.
struct outgoing_origin_message {
  endpoint to;
  std::variant<origin_report, origin_query, origin_reply> message;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_STREAM_ORIGIN_H_
