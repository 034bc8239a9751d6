// Runs each scenario file in test/scenarios.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "Scenario/script.h"

namespace cuminswitch {
namespace {

std::vector<std::string> ListScenarios() {
  std::vector<std::string> names;
  for (const auto& entry :
       std::filesystem::directory_iterator(SCENARIO_FOLDER)) {
    if (entry.path().extension() == ".scenario") {
      names.push_back(entry.path().stem().string());
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

class scenario_test : public testing::TestWithParam<std::string> {};

TEST_P(scenario_test, Holds) {
  const std::string path =
      std::string(SCENARIO_FOLDER) + "/" + GetParam() + ".scenario";
  std::ifstream file(path);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  ASSERT_FALSE(text.empty()) << path;
  try {
    script().Run(text);
  } catch (const std::exception& error) {
    FAIL() << path << ": " << error.what();
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         scenario_test,
                         testing::ValuesIn(ListScenarios()),
                         [](const testing::TestParamInfo<std::string>& info) {
                           return info.param;
                         });

}  // namespace
}  // namespace cuminswitch
