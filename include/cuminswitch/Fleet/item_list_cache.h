/// \file
/// The list of all items, ready to be handed to peers.
#ifndef CUMINSWITCH_FLEET_ITEM_LIST_CACHE_H_
#define CUMINSWITCH_FLEET_ITEM_LIST_CACHE_H_

#include <string>

#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class item_view;

/// Keeps the encoded list for those that ask at about the same time.
///
/// When a whole fleet starts, a daemon hands the same list to a hundred others
/// within a second. Making and compressing a list of 3,000 items takes 24 ms of
/// a whole core, and a host has an eighth of one.
class item_list_cache {
 public:
  /// Returns a frame with all items of \p view, newer than \p after. It may be
  /// a second old; what changed since comes with the next question.
  const std::string& Get(time_point now,
                         const item_view& view,
                         revision_number after);
  /// Lists that were encoded.
  size_t encoded_count() const { return encoded_count_; }

 private:
  std::string frame_;
  revision_number revision_ = 0;
  time_point made_at_{};
  size_t encoded_count_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ITEM_LIST_CACHE_H_
