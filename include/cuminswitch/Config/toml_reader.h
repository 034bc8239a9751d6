/// \file
/// Typed, checked reads from a TOML table that collect findings with their
/// place. Shared by the configuration document and the daemon's settings.
#ifndef CUMINSWITCH_CONFIG_TOML_READER_H_
#define CUMINSWITCH_CONFIG_TOML_READER_H_

#include <toml++/toml.h>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/finding.h"

namespace cuminswitch {

/// Reads one table. Every problem becomes a finding; no read throws.
class toml_reader {
 public:
  struct options {
    const toml::table& table;
    std::string_view file;
    std::string path;
    std::vector<finding>& findings;
  };

  explicit toml_reader(const options& opts);

  /// Reports every key that is not in \p known.
  void CheckKeys(std::initializer_list<std::string_view> known);

  /// Reads a string; a finding if it is missing or empty and \p required.
  std::string ReadString(std::string_view key, bool required = true);
  /// Reads an integer in [\p low, \p high]; \p fallback when absent.
  int64_t ReadInteger(std::string_view key,
                      int64_t low,
                      int64_t high,
                      int64_t fallback);
  bool ReadBool(std::string_view key, bool fallback);
  /// Reads an array of non-empty strings; a finding if it is empty.
  std::vector<std::string> ReadStrings(std::string_view key, bool required);
  /// Reads `address:port`.
  endpoint ReadEndpoint(std::string_view key);
  /// Reads one of \p names and returns its index; \p fallback when absent.
  size_t ReadChoice(std::string_view key,
                    std::initializer_list<std::string_view> names,
                    size_t fallback);

  /// Adds a finding at \p key, or at the table when \p key is absent.
  void Report(std::string_view key, std::string message);

 private:
  const toml::table& table_;
  std::string_view file_;
  std::string path_;
  std::vector<finding>& findings_;
};

/// Parses TOML text; throws `findings_error` for a syntax error.
toml::table ParseToml(std::string_view text, std::string_view file);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CONFIG_TOML_READER_H_
