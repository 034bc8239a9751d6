#include "cuminswitch/Edge/weights_version_counter.h"

#include <algorithm>

namespace cuminswitch {

void weights_version_counter::Add(std::string_view service,
                                  std::span<const weights_version> weights) {
  for (const weights_version& item : weights) {
    version_counts& counts = counts_[{std::string(service), item.model}];
    const uint64_t before = MostCommon(counts);
    ++counts[item.version];
    changes_ += MostCommon(counts) != before ? 1 : 0;
  }
}

void weights_version_counter::Remove(std::string_view service,
                                     std::span<const weights_version> weights) {
  for (const weights_version& item : weights) {
    const auto known = counts_.find({std::string(service), item.model});
    if (known == counts_.end()) {
      continue;
    }
    version_counts& counts = known->second;
    const auto found = counts.find(item.version);
    if (found == counts.end()) {
      continue;
    }
    const uint64_t before = MostCommon(counts);
    if (--found->second == 0) {
      counts.erase(found);
    }
    changes_ += MostCommon(counts) != before ? 1 : 0;
    if (counts.empty()) {
      counts_.erase(known);
    }
  }
}

uint64_t weights_version_counter::MostCommon(const version_counts& counts) {
  const auto found = std::max_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return found == counts.end() ? 0 : found->first;
}

uint64_t weights_version_counter::MostCommon(std::string_view service,
                                             std::string_view model) const {
  const auto found = counts_.find({std::string(service), std::string(model)});
  return found == counts_.end() ? 0 : MostCommon(found->second);
}

}  // namespace cuminswitch
