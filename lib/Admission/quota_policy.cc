#include "cuminswitch/Admission/quota_policy.h"

namespace cuminswitch {

std::string_view ToString(quota_source source) {
  switch (source) {
    case quota_source::kOwner:
      return "owner";
    case quota_source::kSelf:
      return "self";
    case quota_source::kCached:
      return "belief";
    case quota_source::kLocalShare:
      return "own_part";
    case quota_source::kNone:
      return "nobody";
  }
  return "unknown";
}

}  // namespace cuminswitch
