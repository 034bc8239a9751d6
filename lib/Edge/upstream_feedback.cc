#include "cuminswitch/Edge/upstream_feedback.h"

namespace cuminswitch {

upstream_feedback SelectFeedback(const response_attributes& said,
                                 std::string_view attempt) {
  upstream_feedback notices{
      .load = said.load, .limit = std::nullopt, .backoff = std::nullopt};
  // A late answer to another attempt says nothing of this upstream.
  if (said.attempt != attempt) {
    return notices;
  }
  // A refusal may come from where nothing of the limit is known, so one that
  // names none does not end it: the upstream would get a burst after each.
  if (said.is_signed || said.limit.kind != notice_kind::kNone) {
    notices.limit = said.limit;
  }
  notices.has_run = said.is_signed;
  // The answer may be of another upstream, which has the address now.
  if (said.is_mismatch) {
    return notices;
  }
  if (said.was_not_run && said.backoff.kind != notice_kind::kNone) {
    notices.backoff = said.backoff;
  }
  notices.is_leaving = said.is_leaving;
  return notices;
}

}  // namespace cuminswitch
