#include "cuminswitch/Edge/routing_config_translator.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "cuminswitch/Edge/weights_version_counter.h"
#include "cuminswitch/Routing/upstream_incarnation.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Stands for no limit; the platform does not limit a workspace's requests in
/// flight.
static constexpr uint32_t kNoWorkspaceLimit = 1'000'000;
/// Fraction of a link's rate that a copy is expected to get. Copies queue
/// behind one another, and those from another failure domain or the store take
/// about twice as long.
static constexpr double kCopyRateUsed = 0.025;
/// The workspace of requests without a credential; its name is empty.
static constexpr std::string_view kPublicWorkspace;

std::string TargetName(std::string_view service, std::string_view model) {
  std::string name(service);
  if (!model.empty()) {
    name.append("/").append(model);
  }
  return name;
}

priority_class TranslateRank(uint32_t rank) {
  return rank == 0 ? priority_class::kInteractive : priority_class::kStandard;
}

/// Returns the version of \p model that upstreams of \p service should have, as
/// text; empty if none is known. That is the newest published one. Before any
/// is published, all have the same version.
static std::string WantedVersion(const fleet_snapshot& snapshot,
                                 const weights_version_counter& counter,
                                 std::string_view service,
                                 std::string_view model) {
  uint64_t wanted = 0;
  for (const weights_version& item : snapshot.wanted_weights) {
    if (item.model == model) {
      wanted = std::max(wanted, item.version);
    }
  }
  if (wanted == 0) {
    wanted = counter.MostCommon(service, model);
  }
  return wanted == 0 ? std::string() : std::to_string(wanted);
}

/// Lists the cache stores with their copy rates, in tokens per second, for the
/// prefixes of \p engines.
static std::vector<cache_store_spec> ListCacheStores(
    const routing_config& routing,
    const service_config& engines) {
  std::vector<cache_store_spec> stores;
  for (const service_config& service : routing.services) {
    if (service.cache_store) {
      const double rate =
          engines.token_megabits > 0
              ? service.cache_store->link_rate / engines.token_megabits
              : 0;
      stores.push_back({.address = service.cache_store->address,
                        .failure_domain = service.cache_store->failure_domain,
                        .copy_rate = rate});
    }
  }
  return stores;
}

static upstream_spec TranslateSpec(const upstream_entry& entry) {
  upstream_spec spec{.name = entry.id,
                     .kind = entry.weights.empty() ? upstream_kind::kService
                                                   : upstream_kind::kEngine,
                     .address = entry.address,
                     .failure_domain = entry.failure_domain,
                     .software_version = entry.software_version,
                     .serves = {entry.service},
                     .max_in_flight = std::max<uint32_t>(1, entry.slots),
                     .leaving = entry.is_draining};
  for (const weights_version& item : entry.weights) {
    spec.serves.push_back(TargetName(entry.service, item.model));
  }
  return spec;
}

/// Returns the pool of the workspaces that are not isolated. It depends on
/// which are isolated, so that no workspace finds what another one cached
/// before it was isolated, whatever either daemon has seen of earlier
/// configurations.
static std::string SharedPool(const routing_config& routing) {
  std::set<std::string_view> isolated;
  for (const workspace_config& item : routing.workspaces) {
    if (item.is_isolated) {
      isolated.insert(item.name);
    }
  }
  uint64_t hash = 0;
  for (const std::string_view name : isolated) {
    hash = CombineHash(hash, Hash64(name));
  }
  return isolated.empty() ? "shared" : "shared/" + std::to_string(hash);
}

std::shared_ptr<const configuration> TranslateRoutingConfig(
    const fleet_snapshot& snapshot,
    const weights_version_counter& counter,
    time_point written_after) {
  auto config = std::make_shared<configuration>();
  std::vector<std::string> targets;
  for (const service_config& service : snapshot.config->services) {
    config->services.push_back({.name = service.name, .repeatable = true});
    targets.push_back(service.name);
    for (const std::string& model : service.models) {
      config->models.push_back(
          {.name = TargetName(service.name, model),
           .version = WantedVersion(snapshot, counter, service.name, model),
           .published_after = written_after,
           .adapter = {},
           .cache_stores = ListCacheStores(*snapshot.config, service),
           .copy_rate = service.copy_rate * kCopyRateUsed,
           .cache_tokens = service.cache_tokens,
           .max_reservation = service.max_reservation});
      targets.push_back(config->models.back().name);
    }
  }
  const std::string shared_pool = SharedPool(*snapshot.config);
  config->workspaces.push_back({.name = std::string(kPublicWorkspace),
                                .uses = targets,
                                .max_in_flight = kNoWorkspaceLimit,
                                .cache_pool = shared_pool});
  for (const workspace_config& item : snapshot.config->workspaces) {
    config->workspaces.push_back(
        {.name = item.name,
         .uses = targets,
         .max_in_flight = kNoWorkspaceLimit,
         .cache_pool = item.is_isolated ? std::string() : shared_pool});
  }
  const auto by_name = [](const auto& a, const auto& b) {
    return a.name < b.name;
  };
  std::sort(config->services.begin(), config->services.end(), by_name);
  std::sort(config->models.begin(), config->models.end(), by_name);
  std::sort(config->workspaces.begin(), config->workspaces.end(), by_name);
  return config;
}

static upstream_report TranslateReport(const upstream_entry& entry) {
  upstream_report report{.upstream = entry.id,
                         .reachable = true,
                         .started = entry.started,
                         .leaving = entry.is_draining,
                         .models = {}};
  for (const weights_version& item : entry.weights) {
    report.models.push_back({.name = TargetName(entry.service, item.model),
                             .version = std::to_string(item.version)});
  }
  report.incarnation = UpstreamIncarnation(report.started, report.models);
  return report;
}

upstream_update TranslateUpstream(const upstream_entry& entry) {
  return {.spec = TranslateSpec(entry), .report = TranslateReport(entry)};
}

}  // namespace cuminswitch
