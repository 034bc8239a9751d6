#include "cuminswitch/Edge/weights_version_counter.h"

#include <iterator>

namespace cuminswitch {

void weights_version_counter::Add(std::span<const weights_version> weights) {
  for (const weights_version& item : weights) {
    newest_changes_ += item.version > Newest(item.model) ? 1 : 0;
    ++counts_[item.model][item.version];
  }
}

void weights_version_counter::Remove(std::span<const weights_version> weights) {
  for (const weights_version& item : weights) {
    std::map<uint64_t, size_t>& versions = counts_[item.model];
    const auto found = versions.find(item.version);
    if (found == versions.end() || --found->second > 0) {
      continue;
    }
    newest_changes_ += std::next(found) == versions.end() ? 1 : 0;
    versions.erase(found);
  }
}

uint64_t weights_version_counter::Newest(std::string_view model) const {
  const auto found = counts_.find(model);
  return found == counts_.end() || found->second.empty()
             ? 0
             : found->second.rbegin()->first;
}

}  // namespace cuminswitch
