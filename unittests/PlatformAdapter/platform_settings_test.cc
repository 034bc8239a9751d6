// Parsing of the settings file that the platform writes.
#include "platform/platform_settings.h"

#include <gtest/gtest.h>

#include <string>

#include "cuminswitch/Support/findings_error.h"

namespace cuminswitch::platform {
namespace {

constexpr char kSettings[] = R"(node-name = "d1"
zone = "z1"
unknown-field = true
seeds = ["10.1.0.30:8783"]
[listen]
front = "10.1.0.30:8782"
ready = "10.1.0.30:8789"
control = "10.1.0.30:8783"
directory = "10.1.0.30:8780"
[bounds]
retry-slack = 56
version-ms = 6000
[provider]
address = "10.200.1.7:8784"
)";

TEST(platform_settings_test, ReadsSettings) {
  const platform_settings settings = ParsePlatformSettings(kSettings, "f");
  EXPECT_EQ(settings.host, "d1");
  EXPECT_EQ(settings.failure_domain, "z1");
  EXPECT_EQ(settings.peer_address, (endpoint{"10.1.0.30", 8783}));
  EXPECT_EQ(settings.retry_burst, 56);
  EXPECT_EQ(settings.old_weights_time, std::chrono::seconds(6));
  EXPECT_EQ(settings.seeds.size(), 1U);
}

TEST(platform_settings_test, ReportsAllFindingsWithPlaces) {
  std::string text = kSettings;
  text.replace(text.find("10.1.0.30:8789"), 14, "nowhere");
  text.replace(text.find("zone = \"z1\""), 11, "zone = 3");
  try {
    ParsePlatformSettings(text, "f");
    FAIL() << "no error";
  } catch (const findings_error& error) {
    ASSERT_EQ(error.findings().size(), 2U);
    EXPECT_EQ(error.findings()[0].place.path, "zone");
    EXPECT_EQ(error.findings()[0].place.line, 2U);
    EXPECT_EQ(error.findings()[1].place.path, "listen.ready");
  }
}

TEST(platform_settings_test, ReadsWhetherCapacityIsScarce) {
  const std::string text = kSettings;
  EXPECT_FALSE(ParsePlatformSettings(text, "f").is_capacity_scarce);
  EXPECT_FALSE(ParsePlatformSettings("policies = [\"base\"]\n" + text, "f")
                   .is_capacity_scarce);
  EXPECT_TRUE(
      ParsePlatformSettings("policies = [\"base\", \"pressure\"]\n" + text, "f")
          .is_capacity_scarce);
}

TEST(platform_settings_test, ReportsPoliciesOfAnotherType) {
  for (const std::string policies : {"\"pressure\"", "[\"pressure\", 3]"}) {
    try {
      ParsePlatformSettings("policies = " + policies + "\n" + kSettings, "f");
      FAIL() << "no error";
    } catch (const findings_error& error) {
      ASSERT_EQ(error.findings().size(), 1U);
      EXPECT_EQ(error.findings()[0].place.path, "policies");
      EXPECT_EQ(error.findings()[0].place.line, 1U);
    }
  }
}

TEST(platform_settings_test, RejectsSyntaxError) {
  EXPECT_THROW(ParsePlatformSettings("node-name = ", "f"), findings_error);
}

}  // namespace
}  // namespace cuminswitch::platform
