#include "cuminswitch/Fleet/item_store.h"

namespace cuminswitch {

std::string_view ToString(store_status value) {
  switch (value) {
    case store_status::kDone:
      return "done";
    case store_status::kRefused:
      return "refused";
    case store_status::kUnknown:
      return "unknown";
    case store_status::kConflict:
      return "conflict";
    case store_status::kNoLease:
      return "no_lease";
    case store_status::kHistoryGone:
      return "history_gone";
  }
  return "unknown";
}

}  // namespace cuminswitch
