#include "cuminswitch/Edge/upstream_feedback.h"

namespace cuminswitch {

upstream_feedback SelectFeedback(const response_attributes& attributes,
                                 std::string_view attempt) {
  upstream_feedback feedback{.load = attributes.load,
                             .limit = std::nullopt,
                             .rejection_limit = std::nullopt,
                             .backoff = std::nullopt};
  // A late response to another attempt is not evidence about this upstream.
  if (attributes.attempt != attempt) {
    return feedback;
  }
  // A refusal may come from a component that does not know the rate limit, so a
  // refusal without a limit does not remove it. Otherwise the upstream would
  // get a burst after each refusal.
  if (attributes.is_signed || attributes.limit.kind != notice_kind::kNone) {
    feedback.limit = attributes.limit;
  }
  // The address may belong to an upstream of another service by now.
  if (!attributes.is_mismatch &&
      (attributes.is_signed ||
       attributes.rejection_limit.kind != notice_kind::kNone)) {
    feedback.rejection_limit = attributes.rejection_limit;
  }
  feedback.has_run = attributes.is_signed;
  // The response may come from another upstream that has the address now.
  if (attributes.is_mismatch) {
    return feedback;
  }
  if (attributes.was_not_run && attributes.backoff.kind != notice_kind::kNone) {
    feedback.backoff = attributes.backoff;
  }
  feedback.is_leaving = attributes.is_leaving;
  return feedback;
}

}  // namespace cuminswitch
