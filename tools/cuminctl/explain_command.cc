// Tells a request's story out of daemons' log files.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "command.h"
#include "cuminswitch/CommandLine/option_parser.h"

namespace cuminswitch {
namespace {

/// How long before a request's first line the changes of what its daemon
/// believed are shown; bounds of the platform are 2 to 6 s.
constexpr int64_t kContextMs = 6000;

struct log_entry {
  int64_t time_ms = 0;
  std::string file;
  std::string event;
  nlohmann::json fields;
};

/// Reads the lines that are JSON with a time and an event; others, such as a
/// library's, are passed over.
std::vector<log_entry> ReadLog(const std::string& path) {
  std::vector<log_entry> entries;
  std::istringstream lines(ReadFile(path));
  for (std::string line; std::getline(lines, line);) {
    nlohmann::json fields = nlohmann::json::parse(line, nullptr, false);
    if (!fields.is_object() || !fields.contains("time_ms") ||
        !fields.contains("event")) {
      continue;
    }
    log_entry entry{
        .time_ms = fields["time_ms"], .file = path, .event = fields["event"]};
    entry.fields = std::move(fields);
    entries.push_back(std::move(entry));
  }
  return entries;
}

bool IsAbout(const log_entry& entry, const std::string& id) {
  return entry.fields.value("id", std::string()) == id;
}

/// Changes of what the daemon believed that may explain the request's end.
bool IsContext(const log_entry& entry, int64_t from, int64_t to) {
  return !entry.fields.contains("id") && entry.time_ms >= from - kContextMs &&
         entry.time_ms <= to;
}

void Print(const log_entry& entry, int64_t start) {
  std::cout << (entry.fields.contains("id") ? "  " : "    ")
            << entry.time_ms - start << " ms  " << entry.event;
  for (const auto& [name, value] : entry.fields.items()) {
    if (name != "time_ms" && name != "event" && name != "id") {
      std::cout << "  " << name << "="
                << (value.is_string() ? value.get<std::string>()
                                      : value.dump());
    }
  }
  std::cout << "\n";
}

/// Prints one file's part of the story; returns whether it has one.
bool Explain(const std::vector<log_entry>& entries, const std::string& id) {
  const auto is_about = [&](const log_entry& item) {
    return IsAbout(item, id);
  };
  const auto first = std::find_if(entries.begin(), entries.end(), is_about);
  if (first == entries.end()) {
    return false;
  }
  const auto last = std::find_if(entries.rbegin(), entries.rend(), is_about);
  std::cout << first->file << "\n";
  for (const log_entry& item : entries) {
    if (IsAbout(item, id) || IsContext(item, first->time_ms, last->time_ms)) {
      Print(item, first->time_ms);
    }
  }
  return true;
}

}  // namespace

int RunExplain(const argument_list& arguments) {
  option_parser parser("cuminctl explain", "ID LOGFILE...");
  const std::vector<std::string> rest = parser.Parse(arguments);
  if (rest.size() < 2) {
    throw usage_error("a request's id and log files are needed");
  }
  bool is_found = false;
  for (size_t i = 1; i < rest.size(); ++i) {
    is_found = Explain(ReadLog(rest[i]), rest.front()) || is_found;
  }
  if (!is_found) {
    std::cerr << "cuminctl: " << rest.front() << ": in none of the files\n";
    return kFailed;
  }
  return kSuccess;
}

}  // namespace cuminswitch
