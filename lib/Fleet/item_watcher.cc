#include "cuminswitch/Fleet/item_watcher.h"

#include <algorithm>
#include <utility>

#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Log/event_log.h"

namespace cuminswitch {

/// Maximum duration of a watch without a change. A connection that stopped
/// responding is detected shortly after, while the items do not yet count as
/// stale.
static constexpr std::chrono::milliseconds kWatchTimeout{1000};
/// Duration of a watch while the store is unavailable, when it only probes for
/// recovery. A probe without reply delays the next one until its time-out.
static constexpr std::chrono::milliseconds kProbeTimeout{100};
/// Duration of a watch that only asks for the changes up to now.
static constexpr std::chrono::milliseconds kCheckTimeout{1};
/// Pause after a watch that returned changes. Upstreams renew their items
/// continually, so a watch returns immediately, and the pause limits the number
/// of calls. It delays changes by at most this long.
static constexpr duration kWatchPause = std::chrono::milliseconds(100);
static constexpr duration kMinRetryDelay = std::chrono::milliseconds(100);
/// The store's rate limits are shared by all daemons, including those that
/// restart after a power failure.
static constexpr duration kMaxRetryDelay = std::chrono::milliseconds(800);

item_watcher::item_watcher(event_base* base,
                           item_store& store,
                           event_log& log,
                           handlers callbacks)
    : store_(store),
      log_(log),
      handlers_(std::move(callbacks)),
      timer_(base, [this] { Next(); }) {}

item_watcher::~item_watcher() {
  *alive_ = false;
}

void item_watcher::Start() {
  Next();
}

void item_watcher::SetFollowing(bool follows) {
  if (std::exchange(is_following_, follows) != follows) {
    log_.Write(log_class::kStateChange, log_line("store_following")
                                            .Add("follows", follows)
                                            .Add("revision", view_.revision()));
  }
  if (follows && !is_busy_) {
    Next();
  }
}

void item_watcher::Next() {
  is_busy_ = is_following_ || must_read_all_;
  if (!is_busy_) {
    return;
  }
  called_at_ = ReadBootClock();
  if (must_read_all_) {
    read_started_at_ = read_started_at_.value_or(called_at_);
    ReadAll();
  } else {
    Watch();
  }
}

void item_watcher::ReadAll() {
  store_.ReadAll([this, alive = alive_](const store_items& reply) {
    if (*alive) {
      OnItems(true, reply);
    }
  });
}

void item_watcher::Watch() {
  store_.Watch(view_.revision(), has_failed_ ? kProbeTimeout : kWatchTimeout,
               [this, alive = alive_](const store_items& reply) {
                 if (*alive) {
                   OnItems(false, reply);
                 }
               });
}

void item_watcher::Check() {
  const time_point called_at = ReadBootClock();
  if (must_read_all_ || has_failed_) {
    handlers_.on_checked(called_at, false);
    return;
  }
  store_.Watch(view_.revision(), kCheckTimeout,
               [this, alive = alive_, called_at](const store_items& reply) {
                 if (*alive) {
                   OnCheck(called_at, reply);
                 }
               });
}

void item_watcher::OnCheck(time_point called_at, const store_items& reply) {
  // Without the history in between, only the watch's next read of all items
  // shows what has changed.
  const bool is_complete =
      reply.status == store_status::kDone && !must_read_all_;
  if (is_complete) {
    handlers_.on_reply({.at = ReadBootClock(),
                        .complete_at = called_at,
                        .revision = reply.revision});
    const std::vector<std::string> changed =
        view_.ApplyChanges(reply.items, reply.revision);
    if (!changed.empty()) {
      handlers_.on_change(changed);
    }
  }
  handlers_.on_checked(called_at, is_complete);
}

void item_watcher::OnItems(bool is_complete, const store_items& reply) {
  if (reply.status == store_status::kHistoryGone) {
    must_read_all_ = true;
    log_.Write(log_class::kStateChange,
               log_line("store_history_gone").Add("after", view_.revision()));
    timer_.Start(duration(0));
    return;
  }
  if (reply.status != store_status::kDone) {
    OnFailure(reply.status);
    return;
  }
  OnSuccess();
  handlers_.on_reply({.at = last_reply_at_,
                      .complete_at = is_complete
                                         ? read_started_at_.value_or(called_at_)
                                         : last_reply_at_,
                      .revision = reply.revision});
  read_started_at_.reset();
  must_read_all_ = false;
  const std::vector<std::string> changed =
      is_complete ? view_.ApplyAll(reply.items, reply.revision)
                  : view_.ApplyChanges(reply.items, reply.revision);
  timer_.Start(reply.items.empty() ? duration(0) : kWatchPause);
  if (!changed.empty()) {
    handlers_.on_change(changed);
  }
}

void item_watcher::MarkForRelay(std::span<const std::string> keys) {
  for (const std::string& key : keys) {
    view_.MarkForRelay(key);
  }
}

void item_watcher::OnSuccess() {
  last_reply_at_ = ReadBootClock();
  retry_delay_ = duration(0);
  if (std::exchange(has_failed_, false)) {
    log_.Write(log_class::kLifecycle,
               log_line("dependency_regained").Add("dependency", "store"));
  }
}

void item_watcher::OnFailure(store_status status) {
  retry_delay_ = std::clamp(retry_delay_ * 2, kMinRetryDelay, kMaxRetryDelay);
  last_failure_at_ = ReadBootClock();
  if (!std::exchange(has_failed_, true)) {
    log_.Write(log_class::kLifecycle, log_line("dependency_lost")
                                          .Add("dependency", "store")
                                          .Add("reason", ToString(status))
                                          .Add("revision", view_.revision()));
  }
  // The delay includes the duration of the call, so that an unresponsive store
  // is called as often as one that rejects calls.
  timer_.Start(
      std::max(duration(0), retry_delay_ - (last_failure_at_ - called_at_)));
}

void item_watcher::OnPeerItems(const items_reply_frame& reply,
                               const peer_request& request) {
  const revision_number before = view_.revision();
  const std::vector<std::string> changed =
      reply.is_complete ? view_.ApplyAll(reply.items, reply.revision)
                        : view_.ApplyChanges(reply.items, reply.revision);
  if (reply.is_complete && must_read_all_) {
    // The list is complete as of its revision, and the watch continues from
    // there. Reading the remaining pages would only use bandwidth of the
    // store's link that other daemons need.
    must_read_all_ = false;
    read_started_at_.reset();
    store_.StopReading();
    timer_.Start(duration(0));
  }
  if (changed.empty()) {
    return;
  }
  log_.Write(log_class::kStateChange, log_line("items_from_peer")
                                          .Add("peer", request.peer)
                                          .Add("took_ms", request.elapsed)
                                          .Add("before", before)
                                          .Add("revision", reply.revision)
                                          .Add("items", reply.items.size()));
  handlers_.on_change(changed);
}

}  // namespace cuminswitch
