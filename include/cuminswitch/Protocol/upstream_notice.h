/// \file
/// What an upstream reports about itself along with a response: its rate limit
/// and a requested backoff.
#ifndef CUMINSWITCH_PROTOCOL_UPSTREAM_NOTICE_H_
#define CUMINSWITCH_PROTOCOL_UPSTREAM_NOTICE_H_

#include <cstdint>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Whether a response carries a value of this kind.
enum class notice_kind : uint8_t {
  kNone,
  /// It carries one that can be parsed.
  kValid,
  /// It carries one that cannot be parsed.
  kUnreadable,
};

/// A limit of an upstream, for all hosts together.
struct limit_notice {
  notice_kind kind = notice_kind::kNone;
  /// Requests per second that the upstream accepts from all hosts together, or
  /// rejections per second that it survives.
  double rate = 0;
};

/// Backoff that an upstream requested when it refused a request. It applies
/// only to this daemon.
struct backoff_notice {
  notice_kind kind = notice_kind::kNone;
  duration time{0};
};

/// A daemon's report to its peers about an upstream's rate limit, or about the
/// rejection limit of a service's upstreams.
struct limit_update {
  /// Hash of the name of the upstream or the service.
  uint64_t upstream = 0;
  /// As in `limit_notice`; meaningless if the limit has ended.
  double rate = 0;
  bool has_ended = false;
  /// Time since the upstream's response that this is based on.
  duration age{0};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_UPSTREAM_NOTICE_H_
