/// \file
/// The exception that reports all findings of one input together.
#ifndef CUMINSWITCH_SUPPORT_FINDINGS_ERROR_H_
#define CUMINSWITCH_SUPPORT_FINDINGS_ERROR_H_

#include <stdexcept>
#include <vector>

#include "cuminswitch/Support/finding.h"

namespace cuminswitch {

/// Thrown when an input has findings; `what()` lists them, one per line.
class findings_error : public std::runtime_error {
 public:
  explicit findings_error(std::vector<finding> findings);

  const std::vector<finding>& findings() const { return findings_; }

 private:
  std::vector<finding> findings_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SUPPORT_FINDINGS_ERROR_H_
