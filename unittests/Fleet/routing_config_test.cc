// Look-up of routes by host and longest prefix, and of workspaces by
// credential.
#include "cuminswitch/Fleet/routing_config.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

routing_config MakeConfig() {
  routing_config config;
  config.routes = {
      {.name = "short", .host = "h", .path_prefix = "/a/"},
      {.name = "long", .host = "h", .path_prefix = "/a/b/"},
      {.name = "other", .host = "i", .path_prefix = "/a/b/c/"},
  };
  config.workspaces = {{.name = "w", .credentials = {"k1", "k2"}}};
  config.BuildIndex();
  return config;
}

TEST(routing_config_test, FindsRouteWithLongestPrefix) {
  const routing_config config = MakeConfig();
  EXPECT_EQ(config.FindRoute("h", "/a/b/c/d")->name, "long");
  EXPECT_EQ(config.FindRoute("h", "/a/bb")->name, "short");
  EXPECT_EQ(config.FindRoute("i", "/a/b/c/d")->name, "other");
  EXPECT_EQ(config.FindRoute("i", "/a/b/"), nullptr);
  EXPECT_EQ(config.FindRoute("h", "/"), nullptr);
  EXPECT_EQ(config.FindRoute("j", "/a/"), nullptr);
}

TEST(routing_config_test, FindsWorkspaceByCredential) {
  const routing_config config = MakeConfig();
  EXPECT_EQ(config.FindWorkspace("k2")->name, "w");
  EXPECT_EQ(config.FindWorkspace(""), nullptr);
  EXPECT_EQ(config.FindWorkspace("k3"), nullptr);
}

}  // namespace
}  // namespace cuminswitch
