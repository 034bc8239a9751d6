#include "cuminswitch/Http1/message_head.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace cuminswitch {

bool IsSameFieldName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

static const http_header* FindField(const http_headers& headers,
                                    std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [&](const http_header& item) {
                                    return IsSameFieldName(item.name, name);
                                  });
  return found == headers.end() ? nullptr : &*found;
}

std::string_view message_head::Find(std::string_view name) const {
  const http_header* found = FindField(headers, name);
  return found == nullptr ? std::string_view() : std::string_view(found->value);
}

bool message_head::Has(std::string_view name) const {
  return FindField(headers, name) != nullptr;
}

std::string_view FramingName(const message_head& head) {
  if (head.ends_with_connection) {
    return "connection";
  }
  if (head.is_chunked) {
    return "chunked";
  }
  return head.content_length ? "length" : "none";
}

/// Whether the comma-separated \p list contains \p wanted.
static bool ListNames(std::string_view list, std::string_view wanted) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ') {
      item.remove_suffix(1);
    }
    if (IsSameFieldName(item, wanted)) {
      return true;
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool IsConnectionField(const message_head& head, std::string_view name) {
  static constexpr std::array<std::string_view, 9> kFields = {
      "Connection", "Keep-Alive",        "Proxy-Connection",
      "TE",         "Transfer-Encoding", "Trailer",
      "Upgrade",    "Content-Length",    "Expect"};
  for (const std::string_view field : kFields) {
    if (IsSameFieldName(field, name)) {
      return true;
    }
  }
  return ListNames(head.Find("Connection"), name);
}

http_headers EndToEndHeaders(const message_head& head) {
  http_headers headers;
  for (const http_header& item : head.headers) {
    if (!IsConnectionField(head, item.name)) {
      headers.push_back(item);
    }
  }
  return headers;
}

}  // namespace cuminswitch
