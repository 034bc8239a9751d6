#include "cuminswitch/Admission/quota_policy.h"

namespace cuminswitch {

std::string_view ToString(quota_source source) {
  switch (source) {
    case quota_source::kOwner:
      return "owner";
    case quota_source::kSelf:
      return "self";
    case quota_source::kBelief:
      return "belief";
    case quota_source::kOwnPart:
      return "own_part";
    case quota_source::kNobody:
      return "nobody";
  }
  return "unknown";
}

}  // namespace cuminswitch
