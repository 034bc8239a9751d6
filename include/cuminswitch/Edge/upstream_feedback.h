/// \file
/// Selects the trustworthy fields of a response about its upstream.
#ifndef CUMINSWITCH_EDGE_UPSTREAM_FEEDBACK_H_
#define CUMINSWITCH_EDGE_UPSTREAM_FEEDBACK_H_

#include <optional>
#include <string_view>

#include "cuminswitch/Edge/edge_protocol.h"

namespace cuminswitch {

/// The trusted information that a response carries about its upstream.
struct upstream_feedback {
  std::optional<reported_load> load;
  /// The upstream's rate limit; of kind `kNone` if it has none.
  std::optional<limit_notice> limit;
  /// The rejection limit of the upstream's service; likewise.
  std::optional<limit_notice> rejection_limit;
  /// How long the upstream wants no requests.
  std::optional<backoff_notice> backoff;
  bool is_leaving = false;
  /// The upstream executes the request, so it is alive.
  bool has_run = false;
};

/// Selects the trusted fields of \p attributes, from the head of a response on
/// the connection of the attempt \p attempt.
upstream_feedback SelectFeedback(const response_attributes& attributes,
                                 std::string_view attempt);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_UPSTREAM_FEEDBACK_H_
