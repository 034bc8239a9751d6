#include "cuminswitch/Config/document.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Config/document_diff.h"
#include "cuminswitch/Support/digest.h"
#include "cuminswitch/Support/findings_error.h"

namespace cuminswitch {
namespace {

std::string MakeDocument() {
  return R"(format = 1
[platform]
name = "p"
[[model]]
name = "m"
version = "1"
[[service]]
name = "s"
[[upstream]]
name = "u"
address = "127.0.0.1:9000"
failure_domain = "d"
serves = ["m"]
[[workspace]]
name = "w"
credential_sha256 = ")" +
         Sha256Hex("secret") + R"("
uses = ["m", "s"]
)";
}

std::vector<finding> FindingsOf(const std::string& text) {
  try {
    ParseDocument(text, "doc.toml");
  } catch (const findings_error& error) {
    return error.findings();
  }
  return {};
}

bool HasFinding(const std::vector<finding>& findings,
                const std::string& path,
                const std::string& part) {
  return std::any_of(findings.begin(), findings.end(), [&](const finding& f) {
    return f.place.path == path && f.message.find(part) != std::string::npos;
  });
}

TEST(DocumentTest, ParsesAValidDocument) {
  const configuration config = ParseDocument(MakeDocument(), "doc.toml");
  ASSERT_NE(config.FindModel("m"), nullptr);
  EXPECT_EQ(config.FindModel("m")->version, "1");
  ASSERT_NE(config.FindWorkspace("w"), nullptr);
  EXPECT_EQ(config.FindWorkspace("w")->max_in_flight, 64U);
  EXPECT_EQ(config.FindWorkspace("other"), nullptr);
}

TEST(DocumentTest, ReportsAllFindingsWithTheirLocations) {
  std::string text = MakeDocument();
  text += R"([[workspace]]
name = "w"
credential_sha256 = "short"
uses = ["nothing"]
colour = "red"
[[upstream]]
name = "bad name"
address = "localhost:1"
failure_domain = "d"
serves = ["s"]
max_in_flight = 0
)";
  const std::vector<finding> findings = FindingsOf(text);
  EXPECT_TRUE(HasFinding(findings, "workspace[1].name", "is taken"));
  EXPECT_TRUE(HasFinding(findings, "workspace[1].credential_sha256", "64"));
  EXPECT_TRUE(HasFinding(findings, "workspace[1].uses", "\"nothing\""));
  EXPECT_TRUE(HasFinding(findings, "workspace[1].colour", "unknown key"));
  EXPECT_TRUE(HasFinding(findings, "upstream[1].name", "letters"));
  EXPECT_TRUE(HasFinding(findings, "upstream[1].address", "numeric"));
  EXPECT_TRUE(HasFinding(findings, "upstream[1].serves", "kind"));
  EXPECT_TRUE(HasFinding(findings, "upstream[1].max_in_flight", "from 1"));
  for (const finding& item : findings) {
    EXPECT_EQ(item.place.file, "doc.toml");
    EXPECT_GT(item.place.line, 17U) << item.ToString();
    EXPECT_GT(item.place.column, 0U) << item.ToString();
  }
}

TEST(DocumentTest, ReportsTheLineOfASyntaxError) {
  const std::vector<finding> findings = FindingsOf("format = 1\n[platform\n");
  ASSERT_EQ(findings.size(), 1U);
  EXPECT_EQ(findings[0].place.line, 2U);
}

TEST(DocumentTest, RejectsACredentialSharedByTwoWorkspaces) {
  std::string text = MakeDocument();
  text +=
      "[[workspace]]\nname = \"v\"\nuses = [\"m\"]\ncredential_sha256 = \"" +
      Sha256Hex("secret") + "\"\n";
  EXPECT_TRUE(HasFinding(FindingsOf(text), "workspace[1].credential_sha256",
                         "another workspace's"));
}

TEST(DocumentTest, ParsesCanonicalTextToTheSameConfiguration) {
  const configuration config = ParseDocument(MakeDocument(), "doc.toml");
  const std::string text = WriteDocument(config);
  EXPECT_EQ(WriteDocument(ParseDocument(text, "again")), text);
  EXPECT_TRUE(DiffConfigurations(config, ParseDocument(text, "again")).empty());
}

configuration MakeLargeConfiguration(size_t workspaces) {
  configuration config = ParseDocument(MakeDocument(), "doc.toml");
  config.workspaces.clear();
  for (size_t i = 0; i < workspaces; ++i) {
    const std::string name = "workspace-" + std::to_string(10'000 + i);
    config.workspaces.push_back(
        {.name = name, .credential_sha256 = Sha256Hex(name), .uses = {"m"}});
  }
  return config;
}

TEST(DocumentTest, ChangesOneChunkForAChangeToOneWorkspace) {
  configuration config = MakeLargeConfiguration(8700);
  const std::vector<std::string> before = WriteChunks(config);
  config.workspaces[4000].max_in_flight = 7;
  const std::vector<std::string> after = WriteChunks(config);
  ASSERT_EQ(before.size(), after.size());
  size_t changed = 0;
  for (size_t i = 0; i < before.size(); ++i) {
    changed += before[i] != after[i] ? 1 : 0;
    EXPECT_LT(after[i].size(), 1U << 20)
        << "larger than a value in the platform may be";
  }
  EXPECT_EQ(changed, 1U);
}

TEST(DocumentTest, MergesChunksToTheWholeDocument) {
  const configuration config = MakeLargeConfiguration(300);
  std::vector<configuration> fragments;
  for (const std::string& chunk : WriteChunks(config)) {
    fragments.push_back(ParseFragment(chunk, "chunk"));
  }
  std::vector<const configuration*> pointers;
  pointers.reserve(fragments.size());
  for (const configuration& fragment : fragments) {
    pointers.push_back(&fragment);
  }
  EXPECT_EQ(WriteDocument(MergeFragments(pointers)), WriteDocument(config));
}

TEST(DocumentDiffTest, ReportsEachItemThatDiffers) {
  const configuration before = ParseDocument(MakeDocument(), "doc.toml");
  configuration after = before;
  after.workspaces[0].max_in_flight = 3;
  after.services.clear();
  const std::vector<document_change> changes =
      DiffConfigurations(before, after);
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].place, "service \"s\"");
  EXPECT_TRUE(changes[0].after.empty());
  EXPECT_EQ(changes[1].place, "workspace \"w\"");
}

TEST(DocumentDiffTest, ReportsConflictsOnlyForItemsThatBothChangedDifferently) {
  const configuration base = MakeLargeConfiguration(3);
  configuration mine = base;
  configuration theirs = base;
  mine.workspaces[0].max_in_flight = 1;
  theirs.workspaces[0].max_in_flight = 2;
  mine.workspaces[1].max_in_flight = 5;
  theirs.workspaces[1].max_in_flight = 5;
  theirs.workspaces[2].max_in_flight = 9;
  const std::vector<document_change> conflicts =
      FindConflicts(base, mine, theirs);
  ASSERT_EQ(conflicts.size(), 1U);
  EXPECT_EQ(conflicts[0].place, "workspace \"workspace-10000\"");
}

}  // namespace
}  // namespace cuminswitch
