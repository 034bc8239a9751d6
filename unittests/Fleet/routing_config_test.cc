// Routes by host and longest prefix, and holders of credentials.
#include "cuminswitch/Fleet/routing_config.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

routing_config MakeConfig() {
  routing_config plan;
  plan.routes = {
      {.name = "short", .host = "h", .path_prefix = "/a/"},
      {.name = "long", .host = "h", .path_prefix = "/a/b/"},
      {.name = "other", .host = "i", .path_prefix = "/a/b/c/"},
  };
  plan.workspaces = {{.name = "w", .credentials = {"k1", "k2"}}};
  plan.BuildIndex();
  return plan;
}

TEST(routing_config_test, TheLongestPrefixOfTheHostWins) {
  const routing_config plan = MakeConfig();
  EXPECT_EQ(plan.FindRoute("h", "/a/b/c/d")->name, "long");
  EXPECT_EQ(plan.FindRoute("h", "/a/bb")->name, "short");
  EXPECT_EQ(plan.FindRoute("i", "/a/b/c/d")->name, "other");
  EXPECT_EQ(plan.FindRoute("i", "/a/b/"), nullptr);
  EXPECT_EQ(plan.FindRoute("h", "/"), nullptr);
  EXPECT_EQ(plan.FindRoute("j", "/a/"), nullptr);
}

TEST(routing_config_test, FindsTheHolderOfACredential) {
  const routing_config plan = MakeConfig();
  EXPECT_EQ(plan.FindWorkspace("k2")->name, "w");
  EXPECT_EQ(plan.FindWorkspace(""), nullptr);
  EXPECT_EQ(plan.FindWorkspace("k3"), nullptr);
}

}  // namespace
}  // namespace cuminswitch
