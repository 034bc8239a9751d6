// Routes by host and longest prefix, and holders of credentials.
#include "cuminswitch/Fleet/route_plan.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

route_plan MakePlan() {
  route_plan plan;
  plan.routes = {
      {.name = "short", .host = "h", .path_prefix = "/a/"},
      {.name = "long", .host = "h", .path_prefix = "/a/b/"},
      {.name = "other", .host = "i", .path_prefix = "/a/b/c/"},
  };
  plan.workspaces = {{.name = "w", .credentials = {"k1", "k2"}}};
  plan.BuildIndex();
  return plan;
}

TEST(route_plan_test, TheLongestPrefixOfTheHostWins) {
  const route_plan plan = MakePlan();
  EXPECT_EQ(plan.FindRoute("h", "/a/b/c/d")->name, "long");
  EXPECT_EQ(plan.FindRoute("h", "/a/bb")->name, "short");
  EXPECT_EQ(plan.FindRoute("i", "/a/b/c/d")->name, "other");
  EXPECT_EQ(plan.FindRoute("i", "/a/b/"), nullptr);
  EXPECT_EQ(plan.FindRoute("h", "/"), nullptr);
  EXPECT_EQ(plan.FindRoute("j", "/a/"), nullptr);
}

TEST(route_plan_test, FindsTheHolderOfACredential) {
  const route_plan plan = MakePlan();
  EXPECT_EQ(plan.FindHolder("k2")->name, "w");
  EXPECT_EQ(plan.FindHolder(""), nullptr);
  EXPECT_EQ(plan.FindHolder("k3"), nullptr);
}

}  // namespace
}  // namespace cuminswitch
