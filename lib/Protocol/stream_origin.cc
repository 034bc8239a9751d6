#include "cuminswitch/Protocol/stream_origin.h"

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

software_tag SoftwareTag(std::string_view service, std::string_view version) {
  return version.empty() ? kAnySoftware : Hash64(version, Hash64(service));
}

}  // namespace cuminswitch
