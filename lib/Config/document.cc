#include "cuminswitch/Config/document.h"

#include <toml++/toml.h>
#include <algorithm>
#include <set>
#include <sstream>
#include <string_view>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Config/toml_reader.h"
#include "cuminswitch/Support/digest.h"
#include "cuminswitch/Support/findings_error.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {
namespace {

constexpr int64_t kFormatVersion = 1;
constexpr size_t kWorkspaceChunks = 64;
constexpr int64_t kMaxInFlight = 100'000;
constexpr int64_t kMaxTargetMs = 600'000;
constexpr int64_t kPartsPerMillion = 1'000'000;
/// Names are part of HTTP headers, metric labels and paths.
constexpr size_t kMaxNameLength = 128;

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

/// Whether the parsed text is a whole document or one chunk of an accepted one.
enum class document_extent { kWhole, kFragment };

/// Reads one document and collects all findings.
class document_reader {
 public:
  document_reader(const toml::table& root,
                  std::string_view file,
                  document_extent extent)
      : root_(root), file_(file), extent_(extent) {}

  configuration Read();

 private:
  using item_reader = void (document_reader::*)(toml_reader&);

  toml_reader MakeReader(const toml::table& table, std::string path) {
    return toml_reader({.table = table,
                        .file = file_,
                        .path = std::move(path),
                        .findings = findings_});
  }
  void ReadPlatform();
  void ReadItems(std::string_view key, item_reader read);
  void ReadModel(toml_reader& reader);
  void ReadService(toml_reader& reader);
  void ReadUpstream(toml_reader& reader);
  void ReadWorkspace(toml_reader& reader);
  void ReadPlacement(toml_reader& reader);
  std::string ReadName(toml_reader& reader, std::set<std::string>& used_names);
  void CheckTarget(toml_reader& reader,
                   std::string_view key,
                   const std::string& name);

  const toml::table& root_;
  std::string_view file_;
  document_extent extent_;
  std::vector<finding> findings_;
  configuration config_;
  /// Names and credentials read so far, to detect duplicates and to check
  /// references. The targets are models and services.
  std::set<std::string> targets_;
  std::set<std::string> upstreams_;
  std::set<std::string> workspaces_;
  std::set<std::string> failure_domains_;
  std::set<std::string> credentials_;
};

std::string document_reader::ReadName(toml_reader& reader,
                                      std::set<std::string>& used_names) {
  std::string name = reader.ReadString("name");
  if (name.empty()) {
    return name;
  }
  if (!IsName(name)) {
    reader.Report("name", "must be 1 to 128 letters, digits, '-', '_' or '.'");
  }
  if (!used_names.insert(name).second) {
    reader.Report("name", "\"" + name + "\" is taken");
  }
  return name;
}

void document_reader::CheckTarget(toml_reader& reader,
                                  std::string_view key,
                                  const std::string& name) {
  if (extent_ == document_extent::kWhole && !targets_.contains(name)) {
    reader.Report(key, "no model or service is named \"" + name + "\"");
  }
}

void document_reader::ReadPlatform() {
  const toml::table* table = root_["platform"].as_table();
  toml_reader root = MakeReader(root_, "");
  if (table == nullptr) {
    root.Report("platform", "must be a table");
    return;
  }
  toml_reader reader = MakeReader(*table, "platform");
  reader.CheckKeys({"name", "objective", "first_token_target_ms",
                    "between_tokens_target_ms", "answered_target_ppm"});
  platform_spec& platform = config_.platform;
  platform.name = reader.ReadString("name");
  platform.objective = static_cast<routing_objective>(
      reader.ReadChoice("objective", {"first_token", "reuse"}, 0));
  platform.first_token_target_ms = static_cast<uint32_t>(
      reader.ReadInteger("first_token_target_ms", 1, kMaxTargetMs, 1600));
  platform.between_tokens_target_ms = static_cast<uint32_t>(
      reader.ReadInteger("between_tokens_target_ms", 1, kMaxTargetMs, 61));
  platform.answered_target_ppm = static_cast<uint32_t>(reader.ReadInteger(
      "answered_target_ppm", 1, kPartsPerMillion - 1, 999'000));
}

void document_reader::ReadItems(std::string_view key, item_reader read) {
  const toml::node* node = root_.get(key);
  if (node == nullptr) {
    return;
  }
  const toml::array* items = node->as_array();
  if (items == nullptr) {
    MakeReader(root_, "").Report(key, "must be an array of tables");
    return;
  }
  for (size_t i = 0; i < items->size(); ++i) {
    const toml::table* table = (*items)[i].as_table();
    if (table == nullptr) {
      MakeReader(root_, "").Report(key, "must contain only tables");
      return;
    }
    toml_reader reader =
        MakeReader(*table, std::string(key) + "[" + std::to_string(i) + "]");
    (this->*read)(reader);
  }
}

void document_reader::ReadModel(toml_reader& reader) {
  reader.CheckKeys({"name", "version", "adapter"});
  config_.models.push_back({.name = ReadName(reader, targets_),
                            .version = reader.ReadString("version"),
                            .adapter = reader.ReadString("adapter", false)});
}

void document_reader::ReadService(toml_reader& reader) {
  reader.CheckKeys({"name", "repeatable"});
  config_.services.push_back(
      {.name = ReadName(reader, targets_),
       .repeatable = reader.ReadBool("repeatable", false)});
}

void document_reader::ReadUpstream(toml_reader& reader) {
  reader.CheckKeys({"name", "kind", "address", "failure_domain", "serves",
                    "max_in_flight", "checks_fencing", "leaving"});
  upstream_spec upstream;
  upstream.name = ReadName(reader, upstreams_);
  upstream.kind = static_cast<upstream_kind>(
      reader.ReadChoice("kind", {"engine", "service"}, 0));
  upstream.address = reader.ReadEndpoint("address");
  upstream.failure_domain = reader.ReadString("failure_domain");
  upstream.serves = reader.ReadStrings("serves", true);
  upstream.max_in_flight = static_cast<uint32_t>(
      reader.ReadInteger("max_in_flight", 1, kMaxInFlight, 16));
  upstream.checks_fencing = reader.ReadBool("checks_fencing", false);
  upstream.leaving = reader.ReadBool("leaving", false);
  const bool engine = upstream.kind == upstream_kind::kEngine;
  for (const std::string& name : upstream.serves) {
    CheckTarget(reader, "serves", name);
    const bool is_model =
        std::any_of(config_.models.begin(), config_.models.end(),
                    [&](const model_spec& m) { return m.name == name; });
    if (targets_.contains(name) && is_model != engine) {
      reader.Report("serves",
                    "\"" + name + "\" does not match the upstream's kind");
    }
  }
  failure_domains_.insert(upstream.failure_domain);
  config_.upstreams.push_back(std::move(upstream));
}

void document_reader::ReadWorkspace(toml_reader& reader) {
  reader.CheckKeys(
      {"name", "credential_sha256", "priority", "uses", "max_in_flight"});
  workspace_spec workspace;
  workspace.name = ReadName(reader, workspaces_);
  workspace.credential_sha256 = reader.ReadString("credential_sha256");
  workspace.priority = static_cast<priority_class>(
      reader.ReadChoice("priority", {"interactive", "standard", "batch"}, 1));
  workspace.uses = reader.ReadStrings("uses", true);
  workspace.max_in_flight = static_cast<uint32_t>(
      reader.ReadInteger("max_in_flight", 1, kMaxInFlight, 64));
  for (const std::string& name : workspace.uses) {
    CheckTarget(reader, "uses", name);
  }
  const std::string& digest = workspace.credential_sha256;
  const bool is_digest =
      digest.size() == kSha256HexLength &&
      digest.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!digest.empty() && !is_digest) {
    reader.Report("credential_sha256",
                  "must be 64 lower-case hexadecimal digits");
  }
  // Two workspaces with the same credential could not be distinguished: a
  // caller would be assigned to the wrong one and would read its cache.
  if (is_digest && !credentials_.insert(digest).second) {
    reader.Report("credential_sha256", "is another workspace's credential");
  }
  config_.workspaces.push_back(std::move(workspace));
}

void document_reader::ReadPlacement(toml_reader& reader) {
  reader.CheckKeys({"workspace", "target", "failure_domains"});
  placement_spec placement{
      .workspace = reader.ReadString("workspace"),
      .target = reader.ReadString("target"),
      .failure_domains = reader.ReadStrings("failure_domains", true)};
  if (extent_ == document_extent::kWhole && !placement.workspace.empty() &&
      !workspaces_.contains(placement.workspace)) {
    reader.Report("workspace",
                  "no workspace is named \"" + placement.workspace + "\"");
  }
  if (!placement.target.empty()) {
    CheckTarget(reader, "target", placement.target);
  }
  for (const std::string& domain : placement.failure_domains) {
    if (!failure_domains_.contains(domain)) {
      reader.Report("failure_domains",
                    "no upstream is in failure domain \"" + domain + "\"");
    }
  }
  config_.placements.push_back(std::move(placement));
}

void SortItems(configuration& config) {
  const auto by_name = [](const auto& a, const auto& b) {
    return a.name < b.name;
  };
  std::sort(config.models.begin(), config.models.end(), by_name);
  std::sort(config.services.begin(), config.services.end(), by_name);
  std::sort(config.upstreams.begin(), config.upstreams.end(), by_name);
  std::sort(config.workspaces.begin(), config.workspaces.end(), by_name);
  std::sort(config.placements.begin(), config.placements.end(),
            [](const placement_spec& a, const placement_spec& b) {
              return std::tie(a.workspace, a.target) <
                     std::tie(b.workspace, b.target);
            });
}

configuration document_reader::Read() {
  toml_reader root = MakeReader(root_, "");
  root.CheckKeys({"format", "platform", "model", "service", "upstream",
                  "workspace", "placement"});
  if (extent_ == document_extent::kWhole || root_.contains("platform")) {
    if (root_["format"].value<int64_t>() != kFormatVersion) {
      root.Report("format", "must be 1");
    }
    ReadPlatform();
  }
  ReadItems("model", &document_reader::ReadModel);
  ReadItems("service", &document_reader::ReadService);
  ReadItems("upstream", &document_reader::ReadUpstream);
  ReadItems("workspace", &document_reader::ReadWorkspace);
  ReadItems("placement", &document_reader::ReadPlacement);
  if (!findings_.empty()) {
    throw findings_error(std::move(findings_));
  }
  SortItems(config_);
  return std::move(config_);
}

toml::array ToArray(const std::vector<std::string>& items) {
  toml::array result;
  for (const std::string& item : items) {
    result.push_back(item);
  }
  return result;
}

toml::table ToTable(const platform_spec& item) {
  return toml::table{
      {"name", item.name},
      {"objective", ToString(item.objective)},
      {"first_token_target_ms", item.first_token_target_ms},
      {"between_tokens_target_ms", item.between_tokens_target_ms},
      {"answered_target_ppm", item.answered_target_ppm}};
}

toml::table ToTable(const model_spec& item) {
  return toml::table{{"name", item.name},
                     {"version", item.version},
                     {"adapter", item.adapter}};
}

toml::table ToTable(const service_spec& item) {
  return toml::table{{"name", item.name}, {"repeatable", item.repeatable}};
}

toml::table ToTable(const upstream_spec& item) {
  return toml::table{{"name", item.name},
                     {"kind", ToString(item.kind)},
                     {"address", item.address.ToString()},
                     {"failure_domain", item.failure_domain},
                     {"serves", ToArray(item.serves)},
                     {"max_in_flight", item.max_in_flight},
                     {"checks_fencing", item.checks_fencing},
                     {"leaving", item.leaving}};
}

toml::table ToTable(const workspace_spec& item) {
  return toml::table{{"name", item.name},
                     {"credential_sha256", item.credential_sha256},
                     {"priority", ToString(item.priority)},
                     {"uses", ToArray(item.uses)},
                     {"max_in_flight", item.max_in_flight}};
}

toml::table ToTable(const placement_spec& item) {
  return toml::table{{"workspace", item.workspace},
                     {"target", item.target},
                     {"failure_domains", ToArray(item.failure_domains)}};
}

template <class Item>
void WriteItem(std::string_view header, const Item& item, std::string& out) {
  std::ostringstream text;
  text << header << "\n" << ToTable(item) << "\n\n";
  out += text.str();
}

template <class Item>
void WriteItems(std::string_view header,
                const std::vector<Item>& items,
                std::string& out) {
  for (const Item& item : items) {
    WriteItem(header, item, out);
  }
}

}  // namespace

configuration ParseDocument(std::string_view text, std::string_view file) {
  const toml::table root = ParseToml(text, file);
  return document_reader(root, file, document_extent::kWhole).Read();
}

configuration ParseFragment(std::string_view text, std::string_view file) {
  const toml::table root = ParseToml(text, file);
  return document_reader(root, file, document_extent::kFragment).Read();
}

template <class Item>
static void Append(const std::vector<Item>& items, std::vector<Item>& out) {
  out.insert(out.end(), items.begin(), items.end());
}

configuration MergeFragments(std::span<const configuration* const> fragments) {
  configuration merged;
  for (const configuration* fragment : fragments) {
    if (!fragment->platform.name.empty()) {
      merged.platform = fragment->platform;
    }
    Append(fragment->models, merged.models);
    Append(fragment->services, merged.services);
    Append(fragment->upstreams, merged.upstreams);
    Append(fragment->workspaces, merged.workspaces);
    Append(fragment->placements, merged.placements);
  }
  SortItems(merged);
  return merged;
}

std::vector<std::string> WriteChunks(const configuration& config) {
  std::vector<std::string> chunks(1 + kWorkspaceChunks);
  std::string& head = chunks.front();
  head = "format = " + std::to_string(kFormatVersion) + "\n\n";
  WriteItem("[platform]", config.platform, head);
  WriteItems("[[model]]", config.models, head);
  WriteItems("[[service]]", config.services, head);
  WriteItems("[[upstream]]", config.upstreams, head);
  WriteItems("[[placement]]", config.placements, head);
  for (const workspace_spec& item : config.workspaces) {
    const size_t bucket = Hash64(item.name) % kWorkspaceChunks;
    WriteItem("[[workspace]]", item, chunks[1 + bucket]);
  }
  std::erase(chunks, std::string());
  return chunks;
}

std::string WriteDocument(const configuration& config) {
  std::string text;
  for (const std::string& chunk : WriteChunks(config)) {
    text += chunk;
  }
  return text;
}

}  // namespace cuminswitch
