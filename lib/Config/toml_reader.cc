#include "cuminswitch/Config/toml_reader.h"

#include <algorithm>

#include "cuminswitch/Support/findings_error.h"

namespace cuminswitch {

toml_reader::toml_reader(const options& opts)
    : table_(opts.table),
      file_(opts.file),
      path_(opts.path),
      findings_(opts.findings) {}

void toml_reader::Report(std::string_view key, std::string message) {
  const toml::node* node = key.empty() ? nullptr : table_.get(key);
  const toml::source_position position =
      node != nullptr ? node->source().begin : table_.source().begin;
  std::string path = path_;
  if (!key.empty()) {
    path += path.empty() ? std::string(key) : "." + std::string(key);
  }
  findings_.push_back({.place = {.file = std::string(file_),
                                 .line = position.line,
                                 .column = position.column,
                                 .path = std::move(path)},
                       .message = std::move(message)});
}

void toml_reader::CheckKeys(std::initializer_list<std::string_view> known) {
  for (const auto& [key, node] : table_) {
    if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
      Report(key.str(), "unknown key");
    }
  }
}

std::string toml_reader::ReadString(std::string_view key, bool required) {
  const toml::node* node = table_.get(key);
  if (node == nullptr) {
    if (required) {
      Report(key, "is missing");
    }
    return {};
  }
  const auto* value = node->as_string();
  if (value == nullptr) {
    Report(key, "must be a string");
    return {};
  }
  if (required && value->get().empty()) {
    Report(key, "must not be empty");
  }
  return value->get();
}

int64_t toml_reader::ReadInteger(std::string_view key,
                                 int64_t low,
                                 int64_t high,
                                 int64_t fallback) {
  const toml::node* node = table_.get(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto* value = node->as_integer();
  if (value == nullptr || value->get() < low || value->get() > high) {
    Report(key, "must be a whole number from " + std::to_string(low) + " to " +
                    std::to_string(high));
    return fallback;
  }
  return value->get();
}

bool toml_reader::ReadBool(std::string_view key, bool fallback) {
  const toml::node* node = table_.get(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto* value = node->as_boolean();
  if (value == nullptr) {
    Report(key, "must be true or false");
    return fallback;
  }
  return value->get();
}

std::vector<std::string> toml_reader::ReadStrings(std::string_view key,
                                                  bool required) {
  std::vector<std::string> result;
  const toml::node* node = table_.get(key);
  if (node == nullptr) {
    if (required) {
      Report(key, "is missing");
    }
    return result;
  }
  const toml::array* items = node->as_array();
  if (items == nullptr) {
    Report(key, "must be an array of strings");
    return result;
  }
  for (const toml::node& item : *items) {
    const auto* value = item.as_string();
    if (value == nullptr || value->get().empty()) {
      Report(key, "must contain only non-empty strings");
      return result;
    }
    result.push_back(value->get());
  }
  if (required && result.empty()) {
    Report(key, "must not be empty");
  }
  return result;
}

endpoint toml_reader::ReadEndpoint(std::string_view key) {
  const size_t findings_before = findings_.size();
  const std::string text = ReadString(key);
  if (findings_.size() != findings_before) {
    return {};
  }
  const std::optional<endpoint> parsed = ParseEndpoint(text);
  if (!parsed) {
    Report(key, "\"" + text + "\" is not a numeric address:port");
    return {};
  }
  return *parsed;
}

size_t toml_reader::ReadChoice(std::string_view key,
                               std::initializer_list<std::string_view> names,
                               size_t fallback) {
  if (table_.get(key) == nullptr) {
    return fallback;
  }
  const std::string value = ReadString(key);
  const auto* const found = std::find(names.begin(), names.end(), value);
  if (found != names.end()) {
    return static_cast<size_t>(found - names.begin());
  }
  std::string message = "\"" + value + "\" is not one of";
  for (const std::string_view name : names) {
    message += " " + std::string(name);
  }
  Report(key, std::move(message));
  return fallback;
}

toml::table ParseToml(std::string_view text, std::string_view file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw findings_error({{.place = {.file = std::string(file),
                                     .line = error.source().begin.line,
                                     .column = error.source().begin.column,
                                     .path = ""},
                           .message = std::string(error.description())}});
  }
}

}  // namespace cuminswitch
