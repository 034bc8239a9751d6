// Which version of a model's weights upstreams should have.
#include "cuminswitch/Edge/routing_config_translator.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
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
