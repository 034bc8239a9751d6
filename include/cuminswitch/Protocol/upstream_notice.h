/// \file
/// What an upstream says of itself along with an answer. The structs are one
/// family and share this header.
#ifndef CUMINSWITCH_PROTOCOL_UPSTREAM_NOTICE_H_
#define CUMINSWITCH_PROTOCOL_UPSTREAM_NOTICE_H_

#include <cstdint>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Whether an answer names a figure.
enum class notice_kind : uint8_t {
  kNone,
  kNamed,
  /// It names one that cannot be read.
  kUnreadable,
};

/// The rate that an upstream takes; for all hosts together.
struct limit_notice {
  notice_kind kind = notice_kind::kNone;
  /// Requests a second that the upstream takes from all hosts together.
  double rate = 0;
};

/// How long an upstream that refused a request wants nothing more; between it
/// and this daemon alone.
struct backoff_notice {
  notice_kind kind = notice_kind::kNone;
  duration time{0};
};

/// What a daemon knows of an upstream's limit, for its peers.
struct limit_update {
  /// Hash of the upstream's name.
  uint64_t upstream = 0;
  /// Requests a second; nothing counts of it where the limit has ended.
  double rate = 0;
  bool has_ended = false;
  /// Since the upstream's answer that says so.
  duration age{0};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_UPSTREAM_NOTICE_H_
