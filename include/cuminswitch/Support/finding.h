/// \file
/// A problem in an input file, with its location.
#ifndef CUMINSWITCH_SUPPORT_FINDING_H_
#define CUMINSWITCH_SUPPORT_FINDING_H_

#include <cstdint>
#include <string>

namespace cuminswitch {

/// The location of a finding in an input. Lines and columns count from 1; 0
/// means that the finding is about the whole input.
struct source_location {
  std::string file;
  uint32_t line = 0;
  uint32_t column = 0;
  /// The item's path, for example `workspace[3].models`.
  std::string path;
};

/// One problem: its location and a message that begins in lower case.
struct finding {
  source_location place;
  std::string message;

  /// Returns `file:line:column: path: message`.
  std::string ToString() const;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SUPPORT_FINDING_H_
