#include "cuminswitch/Fleet/software_history.h"

#include <algorithm>

#include "cuminswitch/Fleet/upstream_directory.h"

namespace cuminswitch {

bool software_history::IsRecent(time_point now, const version_state& state) {
  return state.in_use > 0 || now - state.last_used < kMaxStreamTime;
}

void software_history::Add(std::string_view service,
                           const std::string& version) {
  version_state& state =
      services_[std::string(service)][SoftwareTag(service, version)];
  state.name = version;
  ++state.in_use;
}

void software_history::Remove(time_point now,
                              std::string_view service,
                              const std::string& version) {
  version_state& state =
      services_[std::string(service)][SoftwareTag(service, version)];
  --state.in_use;
  state.last_used = now;
}

void software_history::Apply(time_point now, const upstream_change& change) {
  if (change.after != nullptr) {
    Add(change.after->service, change.after->software_version);
  }
  if (change.before != nullptr) {
    Remove(now, change.before->service, change.before->software_version);
  }
}

void software_history::SetMixed(std::span<const std::string> services) {
  mixed_ = {services.begin(), services.end()};
}

std::optional<software_tag> software_history::SoleVersion(
    time_point now,
    std::string_view service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || mixed_.contains(service)) {
    return std::nullopt;
  }
  std::optional<software_tag> sole;
  for (const auto& [tag, state] : found->second) {
    if (!IsRecent(now, state)) {
      continue;
    }
    if (sole) {
      return std::nullopt;
    }
    sole = tag;
  }
  return sole;
}

std::vector<std::string> software_history::ListMixed(time_point now) const {
  std::vector<std::string> mixed;
  for (const auto& [service, versions] : services_) {
    const auto recent = std::count_if(
        versions.begin(), versions.end(),
        [now](const auto& item) { return IsRecent(now, item.second); });
    if (recent > 1) {
      mixed.push_back(service);
    }
  }
  return mixed;
}

std::string_view software_history::ServiceOf(software_tag tag) const {
  for (const auto& [service, versions] : services_) {
    if (versions.contains(tag)) {
      return service;
    }
  }
  return {};
}

std::string_view software_history::NameOf(software_tag tag) const {
  for (const auto& [service, versions] : services_) {
    if (const auto found = versions.find(tag); found != versions.end()) {
      return found->second.name;
    }
  }
  return {};
}

void software_history::Expire(time_point now) {
  for (auto& [service, versions] : services_) {
    std::erase_if(versions, [now](const auto& item) {
      return !IsRecent(now, item.second);
    });
  }
  std::erase_if(services_,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace cuminswitch
