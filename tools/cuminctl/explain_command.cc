// Prints the lines of daemons' logs that explain the outcome of a request.
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

/// State changes are shown from this long before the first line of the request:
/// the platform's time bounds for their propagation are 2 to 6 s.
constexpr int64_t kContextMs = 6000;

struct log_entry {
  int64_t time_ms = 0;
  std::string file;
  std::string event;
  nlohmann::json fields;
};

/// Reads the lines that are JSON with a time and an event. Others, such as
/// those of libraries, are ignored.
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

bool HasRequestId(const log_entry& entry, const std::string& id) {
  return entry.fields.value("id", std::string()) == id;
}

/// Whether the line is not about a request, but from the time of the request:
/// a state change that may explain its outcome.
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

/// Prints the lines of one file that explain the request. Returns whether the
/// file has any.
bool Explain(const std::vector<log_entry>& entries, const std::string& id) {
  const auto has_id = [&](const log_entry& item) {
    return HasRequestId(item, id);
  };
  const auto first = std::find_if(entries.begin(), entries.end(), has_id);
  if (first == entries.end()) {
    return false;
  }
  const auto last = std::find_if(entries.rbegin(), entries.rend(), has_id);
  std::cout << first->file << "\n";
  for (const log_entry& item : entries) {
    if (HasRequestId(item, id) ||
        IsContext(item, first->time_ms, last->time_ms)) {
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
    throw usage_error("a request's id and at least one log file are required");
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
