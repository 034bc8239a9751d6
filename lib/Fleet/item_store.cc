#include "cuminswitch/Fleet/item_store.h"

namespace cuminswitch {

std::string_view ToString(store_end value) {
  switch (value) {
    case store_end::kDone:
      return "done";
    case store_end::kRefused:
      return "refused";
    case store_end::kUnknown:
      return "unknown";
    case store_end::kConflict:
      return "conflict";
    case store_end::kNoLease:
      return "no_lease";
    case store_end::kHistoryGone:
      return "history_gone";
  }
  return "unknown";
}

}  // namespace cuminswitch
