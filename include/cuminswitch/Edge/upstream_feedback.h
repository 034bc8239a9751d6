/// \file
/// Which notices of an upstream's answer count.
#ifndef CUMINSWITCH_EDGE_UPSTREAM_FEEDBACK_H_
#define CUMINSWITCH_EDGE_UPSTREAM_FEEDBACK_H_

#include <optional>
#include <string_view>

#include "cuminswitch/Edge/edge_protocol.h"

namespace cuminswitch {

/// What is to be believed of what an answer says of its upstream.
struct upstream_feedback {
  std::optional<reported_load> load;
  /// The upstream's limit, or that it has none.
  std::optional<limit_notice> limit;
  /// For how long the upstream wants nothing more.
  std::optional<backoff_notice> backoff;
  bool is_leaving = false;
  /// The upstream runs the request, so it lives.
  bool has_run = false;
};

/// Chooses what counts of \p said, the head of an answer on the connection of
/// the attempt \p attempt.
upstream_feedback SelectFeedback(const response_attributes& said,
                                 std::string_view attempt);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_UPSTREAM_FEEDBACK_H_
