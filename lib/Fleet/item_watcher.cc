#include "cuminswitch/Fleet/item_watcher.h"

#include <algorithm>
#include <utility>

#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Log/event_log.h"

namespace cuminswitch {

/// A watch ends after this long without a change. A connection that has gone
/// silent is noticed a little later, while beliefs may still be trusted.
static constexpr std::chrono::milliseconds kWatchTimeout{1000};
/// While the store is lost a watch only asks whether it is back. One that is
/// not answered holds up the next for as long as it may take.
static constexpr std::chrono::milliseconds kProbeTimeout{100};
/// Upstreams renew their items all the time, so a watch returns at once; the
/// pause bounds the calls. What matters is late by this much at most.
static constexpr duration kWatchPause = std::chrono::milliseconds(100);
static constexpr duration kMinRetryDelay = std::chrono::milliseconds(100);
/// The store's rates are shared by all daemons, also by those that come back
/// after a loss of power.
static constexpr duration kMaxRetryDelay = std::chrono::milliseconds(800);

item_watcher::item_watcher(event_base* base,
                           item_store& store,
                           event_log& log,
                           handlers calls)
    : store_(store),
      log_(log),
      handlers_(std::move(calls)),
      timer_(base, [this] { Next(); }) {}

item_watcher::~item_watcher() {
  *alive_ = false;
}

void item_watcher::Start() {
  Next();
}

void item_watcher::SetFollowing(bool follows) {
  if (std::exchange(is_following_, follows) != follows) {
    log_.Write(log_class::kBelief, log_line("store_following")
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
    ReadAll();
  } else {
    Watch();
  }
}

void item_watcher::ReadAll() {
  store_.ReadAll([this, alive = alive_](const store_items& answer) {
    if (*alive) {
      OnItems(true, answer);
    }
  });
}

void item_watcher::Watch() {
  store_.Watch(view_.revision(), has_failed_ ? kProbeTimeout : kWatchTimeout,
               [this, alive = alive_](const store_items& answer) {
                 if (*alive) {
                   OnItems(false, answer);
                 }
               });
}

void item_watcher::OnItems(bool is_complete, const store_items& answer) {
  if (answer.status == store_status::kHistoryGone) {
    must_read_all_ = true;
    log_.Write(log_class::kBelief,
               log_line("store_history_gone").Add("after", view_.revision()));
    timer_.Start(duration(0));
    return;
  }
  if (answer.status != store_status::kDone) {
    OnFailure(answer.status);
    return;
  }
  OnSuccess();
  handlers_.on_reply(last_reply_at_, answer.revision);
  must_read_all_ = false;
  const std::vector<std::string> changed =
      is_complete ? view_.ApplyAll(answer.items, answer.revision)
                  : view_.ApplyChanges(answer.items, answer.revision);
  timer_.Start(answer.items.empty() ? duration(0) : kWatchPause);
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

void item_watcher::OnFailure(store_status end) {
  retry_delay_ = std::clamp(retry_delay_ * 2, kMinRetryDelay, kMaxRetryDelay);
  last_failure_at_ = ReadBootClock();
  if (!std::exchange(has_failed_, true)) {
    log_.Write(log_class::kLifecycle, log_line("dependency_lost")
                                          .Add("dependency", "store")
                                          .Add("reason", ToString(end))
                                          .Add("revision", view_.revision()));
  }
  // What the call has taken counts: a store that is silent is asked as often as
  // one that refuses.
  timer_.Start(
      std::max(duration(0), retry_delay_ - (last_failure_at_ - called_at_)));
}

void item_watcher::OnPeerItems(const items_reply_frame& reply,
                               const peer_request& asked) {
  const revision_number before = view_.revision();
  const std::vector<std::string> changed =
      reply.is_complete ? view_.ApplyAll(reply.items, reply.revision)
                        : view_.ApplyChanges(reply.items, reply.revision);
  if (reply.is_complete && must_read_all_) {
    // All is known as of the list's revision; changes go on from there. The
    // rest of the pages would only take the store's link from others.
    must_read_all_ = false;
    store_.StopReading();
    timer_.Start(duration(0));
  }
  if (changed.empty()) {
    return;
  }
  log_.Write(log_class::kBelief, log_line("items_from_peer")
                                     .Add("peer", asked.peer)
                                     .Add("took_ms", asked.took)
                                     .Add("before", before)
                                     .Add("revision", reply.revision)
                                     .Add("items", reply.items.size()));
  handlers_.on_change(changed);
}

}  // namespace cuminswitch
