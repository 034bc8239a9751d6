#include "cuminswitch/Fleet/routing_config.h"

#include <algorithm>
#include <tuple>

namespace cuminswitch {

void routing_config::BuildIndex() {
  std::sort(routes.begin(), routes.end(),
            [](const route_spec& a, const route_spec& b) {
              return std::make_tuple(std::cref(a.host),
                                     -static_cast<int>(a.path_prefix.size())) <
                     std::make_tuple(std::cref(b.host),
                                     -static_cast<int>(b.path_prefix.size()));
            });
  by_credential_.clear();
  for (size_t i = 0; i < workspaces.size(); ++i) {
    for (const std::string& credential : workspaces[i].credentials) {
      by_credential_[credential] = i;
    }
  }
}

const route_spec* routing_config::FindRoute(std::string_view host,
                                            std::string_view path) const {
  auto item =
      std::lower_bound(routes.begin(), routes.end(), host,
                       [](const route_spec& a, std::string_view wanted) {
                         return a.host < wanted;
                       });
  // Longest prefix first within a host.
  for (; item != routes.end() && item->host == host; ++item) {
    if (path.starts_with(item->path_prefix)) {
      return &*item;
    }
  }
  return nullptr;
}

const workspace_config* routing_config::FindWorkspace(
    std::string_view credential) const {
  const auto found = by_credential_.find(std::string(credential));
  return found == by_credential_.end() ? nullptr : &workspaces[found->second];
}

const service_config* routing_config::FindService(std::string_view name) const {
  const auto found = std::find_if(
      services.begin(), services.end(),
      [&](const service_config& item) { return item.name == name; });
  return found == services.end() ? nullptr : &*found;
}

}  // namespace cuminswitch
