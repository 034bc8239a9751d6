#include "cuminswitch/Protocol/member.h"

namespace cuminswitch {

std::string_view ToString(member_status value) {
  switch (value) {
    case member_status::kAlive:
      return "alive";
    case member_status::kSuspect:
      return "suspect";
    case member_status::kLeaving:
      return "leaving";
    case member_status::kDead:
      return "dead";
  }
  return "dead";
}

}  // namespace cuminswitch
