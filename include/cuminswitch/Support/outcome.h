/// \file
/// The outcome of a request. All layers use this one type, so that no layer can
/// report an unknown outcome as a known one.
#ifndef CUMINSWITCH_SUPPORT_OUTCOME_H_
#define CUMINSWITCH_SUPPORT_OUTCOME_H_

#include <string_view>

namespace cuminswitch {

/// The three outcomes of a request or of one attempt at it.
enum class outcome {
  /// An upstream executed it and its response is complete.
  kAnswered,
  /// No byte of it can have reached an upstream that may execute it.
  kNotRun,
  /// An upstream may have executed it, fully or partly.
  kUnknown,
};

/// Returns the name of the outcome in responses, logs and metrics.
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
