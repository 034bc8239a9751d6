#include "head_check.h"

#include <algorithm>
#include <cctype>

#include "cuminswitch/Http1/message_head.h"

namespace cuminswitch {

static constexpr std::string_view kLineEnd = "\r\n";

static bool IsTokenCharacter(char c) {
  static constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         kOthers.find(c) != std::string_view::npos;
}

static bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

static bool IsValueCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

static bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

static bool IsRequestLine(std::string_view line) {
  const size_t first = line.find(' ');
  const size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    return false;
  }
  const std::string_view target = line.substr(first + 1, last - first - 1);
  const std::string_view version = line.substr(last + 1);
  return IsToken(line.substr(0, first)) && target.front() == '/' &&
         target.find(' ') == std::string_view::npos &&
         std::all_of(target.begin(), target.end(), IsValueCharacter) &&
         (version == "HTTP/1.1" || version == "HTTP/1.0");
}

/// Whether \p text is a status from 100 to 599.
static bool IsStatus(std::string_view text) {
  static constexpr size_t kDigits = 3;
  return text.size() == kDigits && text[0] >= '1' && text[0] <= '5' &&
         std::all_of(text.begin(), text.end(), IsDigit);
}

static bool IsStatusLine(std::string_view line) {
  static constexpr size_t kVersionLength = 9;  // "HTTP/1.1 "
  if (!line.starts_with("HTTP/1.1 ") && !line.starts_with("HTTP/1.0 ")) {
    return false;
  }
  const std::string_view rest = line.substr(kVersionLength);
  return IsStatus(rest.substr(0, rest.find(' '))) &&
         std::all_of(rest.begin(), rest.end(), IsValueCharacter);
}

namespace {

/// Counts of the fields that may occur only once.
struct field_counts {
  int lengths = 0;
  int codings = 0;
  int hosts = 0;
};

}  // namespace

static bool IsNumber(std::string_view text) {
  static constexpr size_t kMaxDigits = 18;
  return !text.empty() && text.size() <= kMaxDigits &&
         std::all_of(text.begin(), text.end(), IsDigit);
}

static bool CheckField(std::string_view line, field_counts& counts) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
    return false;
  }
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (!std::all_of(value.begin(), value.end(), IsValueCharacter)) {
    return false;
  }
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
    value.remove_prefix(1);
  }
  while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) {
    value.remove_suffix(1);
  }
  if (IsSameFieldName(name, "Content-Length")) {
    ++counts.lengths;
    return IsNumber(value);
  }
  if (IsSameFieldName(name, "Transfer-Encoding")) {
    ++counts.codings;
    return IsSameFieldName(value, "chunked");
  }
  if (IsSameFieldName(name, "Host")) {
    ++counts.hosts;
  }
  return true;
}

bool IsStrictHead(std::string_view head, bool is_request) {
  field_counts counts;
  bool is_first = true;
  while (!head.empty()) {
    const size_t end = head.find(kLineEnd);
    if (end == std::string_view::npos) {
      return false;
    }
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(end + kLineEnd.size());
    if (line.empty()) {
      break;
    }
    const bool is_good = !is_first    ? CheckField(line, counts)
                         : is_request ? IsRequestLine(line)
                                      : IsStatusLine(line);
    if (!is_good) {
      return false;
    }
    is_first = false;
  }
  const bool is_delimited = counts.lengths + counts.codings <= 1;
  return !is_first && is_delimited && (!is_request || counts.hosts == 1);
}

}  // namespace cuminswitch
