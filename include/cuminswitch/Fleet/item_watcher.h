/// \file
/// Keeps the local replica of the store's items up to date.
#ifndef CUMINSWITCH_FLEET_ITEM_WATCHER_H_
#define CUMINSWITCH_FLEET_ITEM_WATCHER_H_

#include <functional>
#include <memory>
#include <optional>
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

/// Reads all items once, then watches for changes. Reads all items again if the
/// store has discarded the history in between.
class item_watcher {
 public:
  struct store_reply {
    time_point at{};
    /// The items are complete as of then: pages show the items as of the first
    /// one.
    time_point complete_at{};
    revision_number revision = 0;
  };
  struct handlers {
    /// Called with the keys of items that changed or were pruned.
    std::function<void(std::span<const std::string> keys)> on_change;
    /// Called for each reply of the store, before its changes are applied.
    std::function<void(const store_reply& reply)> on_reply;
    /// Called once for each `Check`, after its changes are applied, with the
    /// time of the call; \p is_complete states that the items are complete as
    /// of then.
    std::function<void(time_point called_at, bool is_complete)> on_checked;
  };

  item_watcher(event_base* base,
               item_store& store,
               event_log& log,
               handlers callbacks);
  ~item_watcher();

  void Start();
  /// Sets whether to watch the store. Without that, items come from peers only.
  void SetFollowing(bool follows);
  bool IsFollowing() const { return is_following_; }
  /// Asks the store at once for changes, beside the watch that may wait for
  /// them. What a watch or peers brought before does not show what the store
  /// holds now. Fails at once while the store does not reply.
  void Check();
  /// The last items request to a peer, and the time since it was sent.
  struct peer_request {
    std::string_view peer;
    duration elapsed{0};
  };
  /// Applies items that a peer sent in reply to \p request.
  void OnPeerItems(const items_reply_frame& reply, const peer_request& request);
  const item_view& view() const { return view_; }
  /// Marks the last changes of the items \p keys for relay to peers.
  void MarkForRelay(std::span<const std::string> keys);
  /// Whether the store replied to this daemon within the last \p span.
  bool IsFresh(time_point now, duration span) const {
    return now - last_reply_at_ <= span;
  }
  /// When the store last replied to this daemon.
  time_point last_reply_at() const { return last_reply_at_; }
  /// When a call to the store last failed.
  time_point last_failure_at() const { return last_failure_at_; }
  /// Whether the last call to the store failed.
  bool HasFailed() const { return has_failed_; }

 private:
  void Next();
  void ReadAll();
  void Watch();
  void OnItems(bool is_complete, const store_items& reply);
  void OnCheck(time_point called_at, const store_items& reply);
  void OnFailure(store_status status);
  void OnSuccess();

  item_store& store_;
  event_log& log_;
  handlers handlers_;
  loop_timer timer_;
  item_view view_;
  bool must_read_all_ = true;
  bool has_failed_ = false;
  bool is_following_ = true;
  /// A call is in progress, or the timer for the next one is running.
  bool is_busy_ = false;
  duration retry_delay_{0};
  /// When the first page of the current read of all items was requested.
  std::optional<time_point> read_started_at_;
  /// Start of the current or the last call.
  time_point called_at_{};
  time_point last_reply_at_{};
  time_point last_failure_at_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ITEM_WATCHER_H_
