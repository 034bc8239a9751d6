#include "cuminswitch/Fleet/item_list_cache.h"

#include "cuminswitch/Fleet/item_view.h"
#include "cuminswitch/Fleet/peer_frame.h"

namespace cuminswitch {

/// Time for which an encoded list is reused.
static constexpr duration kCacheLifetime = std::chrono::seconds(1);

const std::string& item_list_cache::Get(time_point now,
                                        const item_view& view,
                                        revision_number after) {
  const bool is_usable =
      !frame_.empty() && now - made_at_ < kCacheLifetime && revision_ > after;
  if (is_usable) {
    return frame_;
  }
  revision_ = view.revision();
  made_at_ = now;
  ++encoded_count_;
  frame_ = EncodePeerFrame(items_reply_frame{
      .revision = revision_, .is_complete = true, .items = view.ListAll()});
  return frame_;
}

}  // namespace cuminswitch
