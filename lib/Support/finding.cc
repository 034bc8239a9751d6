#include "cuminswitch/Support/finding.h"

namespace cuminswitch {

std::string finding::ToString() const {
  std::string text = place.file;
  if (place.line != 0) {
    text += ":" + std::to_string(place.line);
    text += ":" + std::to_string(place.column);
  }
  if (!place.path.empty()) {
    text += ": " + place.path;
  }
  return text + ": " + message;
}

}  // namespace cuminswitch
