/// \file
/// Keeps a view of the store's items up to date.
#ifndef CUMINSWITCH_FLEET_ITEM_WATCHER_H_
#define CUMINSWITCH_FLEET_ITEM_WATCHER_H_

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Fleet/item_store.h"
#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Support/time.h"

struct event_base;

namespace cuminswitch {

class event_log;
struct items_reply_frame;

/// Reads everything once, then follows the changes; begins anew when the store
/// has dropped the history in between.
class item_watcher {
 public:
  struct handlers {
    /// Called with the keys of items that changed or are forgotten.
    std::function<void(std::span<const std::string> keys)> on_change;
    /// Called with the time of each answer of the store, and with the revision
    /// that it is as of, before its changes.
    std::function<void(time_point at, revision_number revision)> on_reply;
  };

  item_watcher(event_base* base,
               item_store& store,
               event_log& log,
               handlers calls);
  ~item_watcher();

  void Start();
  /// Whether to follow the store. While it does not, items come from peers.
  void SetFollowing(bool follows);
  bool IsFollowing() const { return is_following_; }
  /// Whom the daemon asked last, and how long ago.
  struct peer_request {
    std::string_view peer;
    duration took{0};
  };
  /// Takes in items that a peer sent as the answer to \p asked.
  void OnPeerItems(const items_reply_frame& reply, const peer_request& asked);
  const item_view& view() const { return view_; }
  /// The changes of the items under \p keys are news to peers.
  void MarkForRelay(std::span<const std::string> keys);
  /// Whether the store answered this daemon within \p span.
  bool IsFresh(time_point now, duration span) const {
    return now - last_reply_at_ <= span;
  }
  /// When the store last answered this daemon.
  time_point last_reply_at() const { return last_reply_at_; }
  /// When it last failed to.
  time_point last_failure_at() const { return last_failure_at_; }
  /// Whether the store's last answer to this daemon was a failure.
  bool HasFailed() const { return has_failed_; }

 private:
  void Next();
  void ReadAll();
  void Watch();
  void OnItems(bool is_complete, const store_items& answer);
  void OnFailure(store_status end);
  void OnSuccess();

  item_store& store_;
  event_log& log_;
  handlers handlers_;
  loop_timer timer_;
  item_view view_;
  bool must_read_all_ = true;
  bool has_failed_ = false;
  bool is_following_ = true;
  /// A call is under way, or the timer for the next one runs.
  bool is_busy_ = false;
  duration retry_delay_{0};
  /// When the call that is under way, or the last one, began.
  time_point called_at_{};
  time_point last_reply_at_{};
  time_point last_failure_at_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ITEM_WATCHER_H_
