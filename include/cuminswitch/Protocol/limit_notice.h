/// \file
/// The rate that an upstream names as the most it takes.
#ifndef CUMINSWITCH_PROTOCOL_LIMIT_NOTICE_H_
#define CUMINSWITCH_PROTOCOL_LIMIT_NOTICE_H_

#include <cstdint>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// What one answer says of its upstream's limit.
enum class limit_notice_kind : uint8_t {
  /// It names no limit.
  kNone,
  kNamed,
  /// It names one that cannot be read.
  kUnreadable,
};

struct limit_notice {
  limit_notice_kind kind = limit_notice_kind::kNone;
  /// Requests a second that the upstream takes from all hosts together.
  double rate = 0;
};

/// What a daemon knows of an upstream's limit, for its peers.
struct limit_news {
  /// Hash of the upstream's name.
  uint64_t upstream = 0;
  /// Requests a second; nothing counts of it where the limit has ended.
  double rate = 0;
  bool has_ended = false;
  /// Since the upstream's answer that says so.
  duration age{0};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_LIMIT_NOTICE_H_
