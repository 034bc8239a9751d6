#include "soak/version_check.h"

#include <set>
#include <string_view>

namespace cuminswitch::soak {

/// Precedes the version in an event.
static constexpr std::string_view kAuthor = " of ";
/// With fewer resumed streams, they are not compared.
static constexpr size_t kMinResumed = 12;

/// Returns the versions that the events in \p body name.
static std::set<std::string> ListVersions(const std::string& body) {
  std::set<std::string> versions;
  for (size_t at = body.find(kAuthor); at != std::string::npos;
       at = body.find(kAuthor, at + 1)) {
    const size_t begin = at + kAuthor.size();
    if (const size_t end = body.find('\n', begin); end != std::string::npos) {
      versions.insert(body.substr(begin, end - begin));
    }
  }
  return versions;
}

std::string WithoutVersions(std::string body) {
  for (size_t at = body.find(kAuthor); at != std::string::npos;
       at = body.find(kAuthor, at)) {
    body.erase(at, body.find('\n', at) - at);
  }
  return body;
}

std::optional<std::string> version_check::OnStream(const attempt& item) {
  if (item.is_counted) {
    ++(item.is_resumption ? resumed_ : begun_);
    if (item.is_whole) {
      ++(item.is_resumption ? continued_ : completed_);
    }
  }
  if (ListVersions(item.body).size() > 1) {
    return item.id + " holds events of several versions: " + item.body;
  }
  return std::nullopt;
}

std::optional<std::string> version_check::OnEnd() const {
  // Less than half as often: 2 * continued / resumed < completed / begun.
  if (resumed_ < kMinResumed ||
      2 * continued_ * begun_ >= completed_ * resumed_) {
    return std::nullopt;
  }
  return std::to_string(continued_) + " of " + std::to_string(resumed_) +
         " resumed streams went on, " + std::to_string(completed_) + " of " +
         std::to_string(begun_) + " new ones were complete";
}

}  // namespace cuminswitch::soak
