#include "cuminswitch/Settings/daemon_settings.h"

#include <gtest/gtest.h>

#include <string>

#include "cuminswitch/Support/findings_error.h"

namespace cuminswitch {
namespace {

constexpr const char* kSettings = R"(host = "entry-1"
failure_domain = "west-1"
caller_address = "127.0.0.1:8001"
platform_address = "127.0.0.1:7000"
[peers]
address = "127.0.0.1:9001"
seeds = ["127.0.0.1:9002"]
credential = "sixteen characters"
)";

std::string FindingsOf(const std::string& text) {
  try {
    ParseDaemonSettings(text, "s.toml");
  } catch (const findings_error& error) {
    return error.what();
  }
  return {};
}

TEST(DaemonSettingsTest, UsesDefaultsForAbsentSettings) {
  const daemon_settings settings = ParseDaemonSettings(kSettings, "s.toml");
  EXPECT_EQ(settings.host, "entry-1");
  EXPECT_EQ(settings.seeds.size(), 1U);
  EXPECT_EQ(settings.max_body_size, 4U << 20);
  EXPECT_EQ(settings.routing_policy, "prefix_cost");
}

TEST(DaemonSettingsTest, ReportsAnUnknownSettingWithItsLine) {
  EXPECT_NE(FindingsOf(std::string(kSettings) + "[limits]\nmax_bdy = 1\n")
                .find("s.toml:10:"),
            std::string::npos);
}

TEST(DaemonSettingsTest, ReportsEveryFinding) {
  const std::string findings = FindingsOf(
      "host = 3\ncaller_address = \"nowhere\"\n[routing]\npolicy = \"x\"\n");
  for (const char* part :
       {"host: must be a string", "failure_domain: is missing",
        "caller_address: \"nowhere\"", "platform_address: is missing",
        "peers: is missing", "routing.policy: \"x\" is not one of"}) {
    EXPECT_NE(findings.find(part), std::string::npos) << part;
  }
}

TEST(DaemonSettingsTest, RejectsAShortPeerCredential) {
  std::string text = kSettings;
  text.replace(text.find("sixteen characters"), 18, "short");
  EXPECT_NE(FindingsOf(text).find("at least 16"), std::string::npos);
}

}  // namespace
}  // namespace cuminswitch
