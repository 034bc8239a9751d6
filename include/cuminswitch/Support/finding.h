/// \file
/// One thing wrong with an input, with its place.
#ifndef CUMINSWITCH_SUPPORT_FINDING_H_
#define CUMINSWITCH_SUPPORT_FINDING_H_

#include <cstdint>
#include <string>

namespace cuminswitch {

/// Where in an input a finding stands. Line and column count from 1; 0 means
/// that the place is the whole input.
struct source_place {
  std::string file;
  uint32_t line = 0;
  uint32_t column = 0;
  /// The item's path, for example `workspace[3].models`.
  std::string path;
};

/// One finding: a place and what is wrong there, in lower case.
struct finding {
  source_place place;
  std::string message;

  /// Returns `file:line:column: path: message`.
  std::string ToString() const;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SUPPORT_FINDING_H_
