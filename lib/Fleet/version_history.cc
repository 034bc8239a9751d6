#include "cuminswitch/Fleet/version_history.h"

#include <algorithm>

namespace cuminswitch {

/// Older versions are past any bound; they count as superseded by the oldest
/// publication that is kept.
static constexpr size_t kMaxPublications = 16;

void version_history::OnPublished(time_point at,
                                  std::span<const weights_version> wanted) {
  for (const weights_version& item : wanted) {
    std::vector<publication>& known = publications_[item.model];
    if (!known.empty() && known.back().version >= item.version) {
      continue;
    }
    known.push_back({.version = item.version, .at = at});
    if (known.size() > kMaxPublications) {
      known.erase(known.begin());
    }
  }
}

std::optional<time_point> version_history::SupersededAt(
    std::string_view model,
    uint64_t version) const {
  const auto found = publications_.find(model);
  if (found == publications_.end()) {
    return std::nullopt;
  }
  const auto next =
      std::upper_bound(found->second.begin(), found->second.end(), version,
                       [](uint64_t value, const publication& item) {
                         return value < item.version;
                       });
  if (next == found->second.end()) {
    return std::nullopt;
  }
  return next->at;
}

}  // namespace cuminswitch
