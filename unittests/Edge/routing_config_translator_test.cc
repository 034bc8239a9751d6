// Which version of a model's weights upstreams should have.
#include "cuminswitch/Edge/routing_config_translator.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Edge/weights_version_counter.h"
#include "cuminswitch/Fleet/fleet_snapshot.h"

namespace cuminswitch {
namespace {

/// Returns the wanted version of the model `m` of `engines` while \p published
/// is published and the entries of \p upstreams state their versions; 0 for no
/// publication.
std::string WantedVersion(uint64_t published,
                          const std::vector<upstream_entry>& upstreams) {
  routing_config config;
  config.services.push_back({.name = "engines", .models = {"m"}});
  fleet_snapshot snapshot;
  snapshot.config = std::make_shared<const routing_config>(config);
  if (published != 0) {
    snapshot.wanted_weights.push_back({.model = "m", .version = published});
  }
  weights_version_counter counter;
  for (const upstream_entry& item : upstreams) {
    counter.Add(item.service, item.weights);
  }
  return TranslateRoutingConfig(snapshot, counter, {})->models.at(0).version;
}

upstream_entry Upstream(const std::string& service, uint64_t version) {
  return {.service = service, .weights = {{.model = "m", .version = version}}};
}

/// Returns the cache pool of the workspace \p name, or of the requests without
/// a credential, while the workspaces are `a`, `b` and `c` and those in
/// \p isolated do not share.
std::string CachePool(std::string_view name,
                      const std::vector<std::string>& isolated) {
  routing_config config;
  for (const char* workspace : {"c", "a", "b"}) {
    const bool is_isolated = std::find(isolated.begin(), isolated.end(),
                                       workspace) != isolated.end();
    config.workspaces.push_back(
        {.name = workspace, .is_isolated = is_isolated});
  }
  fleet_snapshot snapshot;
  snapshot.config = std::make_shared<const routing_config>(config);
  return TranslateRoutingConfig(snapshot, {}, {})
      ->FindWorkspace(name)
      ->cache_pool;
}

TEST(routing_config_translator_test, OnlyIsolatedWorkspacesShareNoPool) {
  EXPECT_NE(CachePool("a", {}), "");
  EXPECT_EQ(CachePool("b", {}), CachePool("a", {}));
  EXPECT_EQ(CachePool("", {}), CachePool("a", {}));
  EXPECT_EQ(CachePool("a", {"a"}), "");
  EXPECT_EQ(CachePool("c", {"a"}), CachePool("b", {"a"}));
  EXPECT_EQ(CachePool("", {"a"}), CachePool("b", {"a"}));
}

// Guards against cached prompts that others find after their workspace has
// become isolated, and against pools that only a daemon with a longer memory
// would tell apart.
TEST(routing_config_translator_test, PoolDependsOnWhichAreIsolated) {
  EXPECT_NE(CachePool("b", {"a"}), CachePool("b", {}));
  EXPECT_NE(CachePool("b", {"a"}), CachePool("b", {"c"}));
  EXPECT_NE(CachePool("b", {"a"}), CachePool("b", {"a", "c"}));
  EXPECT_EQ(CachePool("b", {"a", "c"}), CachePool("b", {"c", "a"}));
}

// Guards against an entry with a version that nobody published: no engine got
// requests, because all counted as superseded.
TEST(routing_config_translator_test, EntryDoesNotSupersedePublishedVersion) {
  for (const uint64_t odd : {uint64_t{2}, uint64_t{1} << 63, UINT64_MAX}) {
    EXPECT_EQ(
        WantedVersion(1, {Upstream("engines", 1), Upstream("engines", odd),
                          Upstream("engines", odd)}),
        "1");
    EXPECT_EQ(WantedVersion(0, {Upstream("engines", 1), Upstream("engines", 1),
                                Upstream("engines", odd)}),
              "1");
  }
}

// Guards against the entry of a service that does not run the model.
TEST(routing_config_translator_test, OtherServicesEntriesDoNotCount) {
  EXPECT_EQ(WantedVersion(0, {Upstream("engines", 1), Upstream("plain", 2),
                              Upstream("plain", 2)}),
            "1");
}

TEST(routing_config_translator_test, NewestPublishedVersionIsWanted) {
  EXPECT_EQ(WantedVersion(2, {Upstream("engines", 1), Upstream("engines", 1)}),
            "2");
  EXPECT_EQ(WantedVersion(0, {}), "");
}

}  // namespace
}  // namespace cuminswitch
