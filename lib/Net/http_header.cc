#include "cuminswitch/Net/http_header.h"

#include <strings.h>

namespace cuminswitch {

std::string_view http_response_head::Find(std::string_view name) const {
  for (const http_header& header : headers) {
    if (header.name.size() == name.size() &&
        strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
      return header.value;
    }
  }
  return {};
}

}  // namespace cuminswitch
