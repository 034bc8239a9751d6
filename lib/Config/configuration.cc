#include "cuminswitch/Config/configuration.h"

#include <algorithm>

namespace cuminswitch {

template <class Item>
static const Item* FindByName(const std::vector<Item>& items,
                              std::string_view name) {
  const auto found = std::lower_bound(
      items.begin(), items.end(), name,
      [](const Item& item, std::string_view key) { return item.name < key; });
  if (found == items.end() || found->name != name) {
    return nullptr;
  }
  return &*found;
}

const model_spec* configuration::FindModel(std::string_view name) const {
  return FindByName(models, name);
}

const service_spec* configuration::FindService(std::string_view name) const {
  return FindByName(services, name);
}

const workspace_spec* configuration::FindWorkspace(
    std::string_view name) const {
  return FindByName(workspaces, name);
}

std::string_view ToString(priority_class value) {
  switch (value) {
    case priority_class::kInteractive:
      return "interactive";
    case priority_class::kStandard:
      return "standard";
    case priority_class::kBatch:
      return "batch";
  }
  return "standard";
}

std::string_view ToString(routing_objective value) {
  return value == routing_objective::kReuse ? "reuse" : "first_token";
}

std::string_view ToString(upstream_kind value) {
  return value == upstream_kind::kService ? "service" : "engine";
}

}  // namespace cuminswitch
