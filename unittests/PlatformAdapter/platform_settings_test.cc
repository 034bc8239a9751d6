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

TEST(platform_settings_test, RejectsSyntaxError) {
  EXPECT_THROW(ParsePlatformSettings("node-name = ", "f"), findings_error);
}

}  // namespace
}  // namespace cuminswitch::platform
