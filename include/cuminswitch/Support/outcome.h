/// \file
/// What is known of a request at its end. One type carries it through every
/// layer, so that no layer can turn doubt into certainty.
#ifndef CUMINSWITCH_SUPPORT_OUTCOME_H_
#define CUMINSWITCH_SUPPORT_OUTCOME_H_

#include <string_view>

namespace cuminswitch {

/// The three outcomes of a request or of one attempt at it.
enum class outcome {
  /// An upstream ran it and its answer is whole.
  kAnswered,
  /// No byte of it can have reached an upstream that may run it.
  kNotRun,
  /// An upstream may have run it, in full or in part.
  kUnknown,
};

/// Returns the outcome's name as it stands in answers and logs.
constexpr std::string_view ToString(outcome value) {
  switch (value) {
    case outcome::kAnswered:
      return "answered";
    case outcome::kNotRun:
      return "not_run";
    case outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SUPPORT_OUTCOME_H_
