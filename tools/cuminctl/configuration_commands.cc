// The commands that check, compare, submit and print configurations.
#include <unistd.h>

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "command.h"
#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Config/document.h"
#include "cuminswitch/Config/document_diff.h"
#include "cuminswitch/Control/configuration_store.h"
#include "cuminswitch/Platform/blocking_platform.h"
#include "cuminswitch/Support/digest.h"
#include "cuminswitch/Support/findings_error.h"

namespace cuminswitch {
namespace {

constexpr const char* kPlatformHelp = "The platform service's address:port";
/// The prefix of the first line that `show` prints, which `submit` reads to
/// find the generation that the document is based on.
constexpr std::string_view kGenerationComment = "# generation ";

platform_client::options MakePlatformOptions(const std::string& address) {
  const std::optional<endpoint> parsed = ParseEndpoint(address);
  if (!parsed) {
    throw usage_error("--platform must be a numeric address:port");
  }
  return {.address = *parsed};
}

std::string GetSingleFile(const argument_list& rest) {
  if (rest.size() != 1) {
    throw usage_error("exactly one document is required");
  }
  return rest.front();
}

nlohmann::json ToJson(const finding& item) {
  return {{"file", item.place.file},
          {"line", item.place.line},
          {"column", item.place.column},
          {"path", item.place.path},
          {"message", item.message}};
}

nlohmann::json ToJson(const std::vector<document_change>& changes) {
  nlohmann::json json = nlohmann::json::array();
  for (const document_change& change : changes) {
    json.push_back({{"place", change.place},
                    {"before", change.before},
                    {"after", change.after}});
  }
  return json;
}

void PrintLines(std::string_view mark, const std::string& text) {
  size_t start = 0;
  while (start < text.size()) {
    const size_t end = std::min(text.find('\n', start), text.size());
    if (end > start) {
      std::cout << mark << text.substr(start, end - start) << "\n";
    }
    start = end + 1;
  }
}

void PrintChanges(const std::vector<document_change>& changes,
                  std::string_view before_mark,
                  std::string_view after_mark) {
  for (const document_change& change : changes) {
    std::cout << change.place << "\n";
    PrintLines(before_mark, change.before);
    PrintLines(after_mark, change.after);
  }
}

generation_number ReadBase(const std::string& text, int given) {
  if (given >= 0) {
    return static_cast<generation_number>(given);
  }
  if (text.starts_with(kGenerationComment)) {
    return std::stoull(text.substr(kGenerationComment.size()));
  }
  return 0;
}

std::string MakeSubmissionId(const std::string& text) {
  const auto now = std::chrono::system_clock::now().time_since_epoch().count();
  return Sha256Hex(text + std::to_string(now) + "/" + std::to_string(getpid()));
}

int PrintSubmission(const submission_result& result) {
  switch (result.status) {
    case submission_status::kAccepted:
      std::cout << "accepted as generation " << result.generation << "\n";
      return kSuccess;
    case submission_status::kConflict:
      std::cout << "not accepted: the current generation is "
                << result.generation
                << ", which is not the base of this document\n";
      if (result.conflicts.empty()) {
        std::cout << "the changes affect different items\n";
      }
      PrintChanges(result.conflicts, "  theirs: ", "  yours:  ");
      return kConflict;
    case submission_status::kUnknown:
      std::cout << "the platform did not confirm the submission; submit the "
                   "document again with the same base\n";
      return kUnknownOutcome;
  }
  return kFailed;
}

}  // namespace

int RunCheck(const argument_list& arguments) {
  bool json = false;
  option_parser parser("cuminctl check", "[OPTION...] DOCUMENT.toml");
  parser.AddFlag("json", json, "Print the findings as JSON");
  const std::string file = GetSingleFile(parser.Parse(arguments));
  try {
    ParseDocument(ReadFile(file), file);
  } catch (const findings_error& error) {
    if (!json) {
      throw;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const finding& item : error.findings()) {
      list.push_back(ToJson(item));
    }
    std::cout << list.dump(2) << "\n";
    return kFindings;
  }
  std::cout << (json ? "[]" : file + ": no findings") << "\n";
  return kSuccess;
}

int RunDiff(const argument_list& arguments) {
  std::string platform;
  bool json = false;
  option_parser parser("cuminctl diff", "[OPTION...] DOCUMENT.toml");
  parser.AddString("platform", platform, kPlatformHelp, "ADDRESS");
  parser.AddFlag("json", json, "Print the difference as JSON");
  const std::string file = GetSingleFile(parser.Parse(arguments));
  const configuration proposed = ParseDocument(ReadFile(file), file);
  blocking_platform store(MakePlatformOptions(platform));
  const stored_configuration current = configuration_store(store).Fetch();
  const std::vector<document_change> changes =
      DiffConfigurations(current.config, proposed);
  if (json) {
    std::cout << ToJson(changes).dump(2) << "\n";
  } else {
    PrintChanges(changes, "  - ", "  + ");
  }
  return changes.empty() ? kSuccess : kDiffers;
}

int RunSubmit(const argument_list& arguments) {
  std::string platform;
  std::string submission;
  int base = -1;
  option_parser parser("cuminctl submit", "[OPTION...] DOCUMENT.toml");
  parser.AddString("platform", platform, kPlatformHelp, "ADDRESS");
  parser.AddInteger("base", base,
                    "Generation that the document is based on; by default "
                    "the one that `show` wrote into it, or 0");
  parser.AddString("submission", submission,
                   "Identifier of this submission; a retry with the same "
                   "identifier is not accepted twice");
  const std::string file = GetSingleFile(parser.Parse(arguments));
  const std::string text = ReadFile(file);
  const configuration proposed = ParseDocument(text, file);
  if (submission.empty()) {
    submission = MakeSubmissionId(text);
  }
  blocking_platform store(MakePlatformOptions(platform));
  return PrintSubmission(configuration_store(store).Submit(
      proposed, ReadBase(text, base), submission));
}

int RunShow(const argument_list& arguments) {
  std::string platform;
  int generation = -1;
  option_parser parser("cuminctl show", "[OPTION...]");
  parser.AddString("platform", platform, kPlatformHelp, "ADDRESS");
  parser.AddInteger("generation", generation, "Print this earlier generation");
  if (!parser.Parse(arguments).empty()) {
    throw usage_error("show takes no arguments");
  }
  blocking_platform platform_access(MakePlatformOptions(platform));
  configuration_store store(platform_access);
  const stored_configuration stored =
      generation < 0
          ? store.Fetch()
          : store.FetchGeneration(static_cast<generation_number>(generation));
  if (stored.generation == 0) {
    std::cerr << "cuminctl: no configuration has been accepted yet\n";
    return kFailed;
  }
  std::cout << kGenerationComment << stored.generation << "\n"
            << WriteDocument(stored.config);
  return kSuccess;
}

int RunHash(const argument_list& arguments) {
  option_parser parser("cuminctl hash", "CREDENTIAL");
  const argument_list rest = parser.Parse(arguments);
  if (rest.size() != 1) {
    throw usage_error("exactly one credential is required");
  }
  std::cout << Sha256Hex(rest.front()) << "\n";
  return kSuccess;
}

}  // namespace cuminswitch
