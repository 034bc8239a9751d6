/// \file
/// Typed and checked access to a TOML table, which collects findings with their
/// locations. The configuration document and the settings of the daemon use it.
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

/// Reads one table. Every problem is added to the findings; no member throws
/// for invalid input.
class toml_reader {
 public:
  struct options {
    const toml::table& table;
    /// The name of the file and the path of the table, for findings.
    std::string_view file;
    std::string path;
    std::vector<finding>& findings;
  };

  explicit toml_reader(const options& opts);

  /// Reports every key that is not in \p known.
  void CheckKeys(std::initializer_list<std::string_view> known);

  /// Returns a string. Adds a finding if it is \p required and missing or
  /// empty.
  std::string ReadString(std::string_view key, bool required = true);
  /// Returns an integer in [\p low, \p high], or \p fallback when it is absent.
  /// Other values add a finding.
  int64_t ReadInteger(std::string_view key,
                      int64_t low,
                      int64_t high,
                      int64_t fallback);
  bool ReadBool(std::string_view key, bool fallback);
  /// Returns an array of non-empty strings. Adds a finding if the array is
  /// \p required and missing or empty.
  std::vector<std::string> ReadStrings(std::string_view key, bool required);
  /// Returns the endpoint in a required `address:port` string.
  endpoint ReadEndpoint(std::string_view key);
  /// Returns the index in \p names of a string, or \p fallback when the string
  /// is absent. Other strings add a finding.
  size_t ReadChoice(std::string_view key,
                    std::initializer_list<std::string_view> names,
                    size_t fallback);

  /// Adds a finding at \p key, or at the table when the table has no such key.
  void Report(std::string_view key, std::string message);

 private:
  const toml::table& table_;
  std::string_view file_;
  std::string path_;
  std::vector<finding>& findings_;
};

/// Parses TOML text. Throws `findings_error` for a syntax error.
toml::table ParseToml(std::string_view text, std::string_view file);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CONFIG_TOML_READER_H_
