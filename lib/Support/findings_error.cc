#include "cuminswitch/Support/findings_error.h"

#include <string>
#include <utility>

namespace cuminswitch {

static std::string JoinFindings(const std::vector<finding>& findings) {
  std::string text;
  for (const finding& item : findings) {
    if (!text.empty()) {
      text += "\n";
    }
    text += item.ToString();
  }
  return text;
}

findings_error::findings_error(std::vector<finding> findings)
    : std::runtime_error(JoinFindings(findings)),
      findings_(std::move(findings)) {}

}  // namespace cuminswitch
