#include "cuminswitch/Settings/daemon_settings.h"

#include <iterator>
#include <limits>

#include "cuminswitch/Config/toml_reader.h"
#include "cuminswitch/Support/digest.h"
#include "cuminswitch/Support/findings_error.h"

namespace cuminswitch {
namespace {

constexpr int64_t kMaxBytes = 1LL << 30;
constexpr int64_t kMaxMillis = 3'600'000;
constexpr int64_t kMaxShards = 1024;
constexpr int64_t kMaxRate = 100'000;
constexpr int64_t kMaxRetentionSeconds = 86'400;
constexpr int64_t kMaxAddressTtlSeconds = 3600;
constexpr size_t kMinCredentialLength = 16;

/// Reads the tables of one settings file and collects findings.
class settings_reader {
 public:
  settings_reader(const toml::table& root, std::string_view file)
      : root_(root), file_(file) {}

  daemon_settings Read();

 private:
  toml_reader MakeReader(const toml::table& table, std::string path) {
    return toml_reader({.table = table,
                        .file = file_,
                        .path = std::move(path),
                        .findings = findings_});
  }
  /// Returns the table \p key, or an empty one if it is missing or no table.
  /// Adds a finding if it is no table, or missing and \p required.
  const toml::table& FindTable(std::string_view key, bool required);
  std::chrono::milliseconds ReadMillis(toml_reader& reader,
                                       std::string_view key,
                                       std::chrono::milliseconds fallback);
  void ReadPeers();
  void ReadLimits();
  void ReadRouting();
  void ReadOnce();
  void ReadAccess();

  const toml::table& root_;
  std::string_view file_;
  std::vector<finding> findings_;
  daemon_settings settings_;
};

const toml::table& settings_reader::FindTable(std::string_view key,
                                              bool required) {
  static const toml::table empty;
  const toml::node* node = root_.get(key);
  if (node == nullptr) {
    if (required) {
      MakeReader(root_, "").Report(key, "is missing");
    }
    return empty;
  }
  const toml::table* table = node->as_table();
  if (table == nullptr) {
    MakeReader(root_, "").Report(key, "must be a table");
    return empty;
  }
  return *table;
}

std::chrono::milliseconds settings_reader::ReadMillis(
    toml_reader& reader,
    std::string_view key,
    std::chrono::milliseconds fallback) {
  return std::chrono::milliseconds(
      reader.ReadInteger(key, 1, kMaxMillis, fallback.count()));
}

void settings_reader::ReadPeers() {
  if (!root_.contains("peers")) {
    FindTable("peers", true);
    return;
  }
  toml_reader reader = MakeReader(FindTable("peers", true), "peers");
  reader.CheckKeys({"address", "seeds", "credential"});
  settings_.peer_address = reader.ReadEndpoint("address");
  for (const std::string& text : reader.ReadStrings("seeds", false)) {
    if (const std::optional<endpoint> seed = ParseEndpoint(text)) {
      settings_.seeds.push_back(*seed);
    } else {
      reader.Report("seeds", "\"" + text + "\" is not a numeric address:port");
    }
  }
  settings_.peer_credential = reader.ReadString("credential");
  if (!settings_.peer_credential.empty() &&
      settings_.peer_credential.size() < kMinCredentialLength) {
    reader.Report("credential", "must have at least 16 characters");
  }
}

void settings_reader::ReadLimits() {
  toml_reader reader = MakeReader(FindTable("limits", false), "limits");
  reader.CheckKeys({"max_body_size", "max_header_size",
                    "caller_read_timeout_ms", "caller_write_timeout_ms",
                    "upstream_connect_timeout_ms", "upstream_idle_timeout_ms"});
  daemon_settings& s = settings_;
  s.max_body_size = static_cast<size_t>(reader.ReadInteger(
      "max_body_size", 1, kMaxBytes, static_cast<int64_t>(s.max_body_size)));
  s.max_header_size = static_cast<size_t>(
      reader.ReadInteger("max_header_size", 1, kMaxBytes,
                         static_cast<int64_t>(s.max_header_size)));
  s.caller_read_timeout =
      ReadMillis(reader, "caller_read_timeout_ms", s.caller_read_timeout);
  s.caller_write_timeout =
      ReadMillis(reader, "caller_write_timeout_ms", s.caller_write_timeout);
  s.upstream_connect_timeout = ReadMillis(reader, "upstream_connect_timeout_ms",
                                          s.upstream_connect_timeout);
  s.upstream_idle_timeout =
      ReadMillis(reader, "upstream_idle_timeout_ms", s.upstream_idle_timeout);
}

void settings_reader::ReadRouting() {
  static constexpr std::string_view kPolicies[] = {
      "prefix_cost", "random", "round_robin", "least_in_flight", "prefix_hash"};
  toml_reader reader = MakeReader(FindTable("routing", false), "routing");
  reader.CheckKeys({"policy", "max_upstream_probes_per_second"});
  const size_t choice = reader.ReadChoice(
      "policy",
      {kPolicies[0], kPolicies[1], kPolicies[2], kPolicies[3], kPolicies[4]},
      0);
  settings_.routing_policy = kPolicies[choice];
  settings_.max_upstream_probes_per_second = static_cast<uint32_t>(
      reader.ReadInteger("max_upstream_probes_per_second", 1, kMaxRate,
                         settings_.max_upstream_probes_per_second));
}

void settings_reader::ReadOnce() {
  toml_reader reader = MakeReader(FindTable("once", false), "once");
  reader.CheckKeys(
      {"shard_count", "fleet_writes_per_second", "key_retention_seconds"});
  settings_.shard_count = static_cast<uint32_t>(
      reader.ReadInteger("shard_count", 1, kMaxShards, settings_.shard_count));
  settings_.fleet_writes_per_second = static_cast<uint32_t>(
      reader.ReadInteger("fleet_writes_per_second", 1, kMaxRate,
                         settings_.fleet_writes_per_second));
  settings_.key_retention = std::chrono::seconds(
      reader.ReadInteger("key_retention_seconds", 1, kMaxRetentionSeconds,
                         settings_.key_retention.count()));
}

void settings_reader::ReadAccess() {
  toml_reader reader = MakeReader(FindTable("operators", false), "operators");
  reader.CheckKeys({"credential_sha256"});
  settings_.operator_credential_sha256 =
      reader.ReadString("credential_sha256", false);
  const size_t length = settings_.operator_credential_sha256.size();
  if (length != 0 && length != kSha256HexLength) {
    reader.Report("credential_sha256", "must be 64 hexadecimal digits");
  }
}

daemon_settings settings_reader::Read() {
  toml_reader root = MakeReader(root_, "");
  root.CheckKeys({"host", "failure_domain", "caller_address",
                  "platform_address", "address_time_to_live_seconds", "peers",
                  "limits", "routing", "once", "operators"});
  settings_.host = root.ReadString("host");
  settings_.failure_domain = root.ReadString("failure_domain");
  settings_.caller_address = root.ReadEndpoint("caller_address");
  settings_.platform_address = root.ReadEndpoint("platform_address");
  settings_.address_time_to_live = std::chrono::seconds(
      root.ReadInteger("address_time_to_live_seconds", 1, kMaxAddressTtlSeconds,
                       settings_.address_time_to_live.count()));
  ReadPeers();
  ReadLimits();
  ReadRouting();
  ReadOnce();
  ReadAccess();
  if (!findings_.empty()) {
    throw findings_error(std::move(findings_));
  }
  return std::move(settings_);
}

}  // namespace

daemon_settings ParseDaemonSettings(std::string_view text,
                                    std::string_view file) {
  const toml::table root = ParseToml(text, file);
  return settings_reader(root, file).Read();
}

}  // namespace cuminswitch
