// Start grants of requests that run at most once per key: requested from the
// owner of the key's shard, granted, and released if unused.
#include <algorithm>
#include <utility>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Protocol/shard_directory.h"
#include "cuminswitch/Support/status_code.h"
#include "router_constants.h"

namespace cuminswitch {

static constexpr uint32_t kUnprocessable = 422;
static constexpr duration kStartRequestInterval =
    std::chrono::milliseconds(300);
/// Longer than it takes until a shard has a new owner.
static constexpr uint32_t kStartRetryAfterSeconds = 3;

shard_number request_router::ShardOf(const request& item) const {
  return static_cast<shard_number>(item.key.high % options_.shard_count);
}

bool request_router::IsStartOver(time_point now, const request& item) const {
  return now >= item.start_deadline || IsStartHopeless(item);
}

bool request_router::IsStartHopeless(const request& item) const {
  return !platform_reachable_ && members_.FindOwner(ShardOf(item)) == nullptr;
}

void request_router::SendStartRequest(time_point now,
                                      request& item,
                                      action_list& out) {
  item.next_start_request = now + kStartRequestInterval;
  const shard_number shard = ShardOf(item);
  const member* owner = members_.FindOwner(shard);
  if (owner == nullptr) {
    return;
  }
  out.push_back(send_peer{
      .to = owner->peer_address,
      .message = start_request{.reply_to = options_.self.peer_address,
                               .host = options_.self.host,
                               .incarnation = options_.self.incarnation,
                               .request = item.info.request,
                               .shard = shard,
                               .key = item.key,
                               .key_issued = item.info.key_issued,
                               .request_digest = item.info.request_digest}});
}

void request_router::ReleaseStart(const request& item, action_list& out) const {
  const shard_number shard = ShardOf(item);
  const member* owner = members_.FindOwner(shard);
  if (owner == nullptr) {
    return;
  }
  out.push_back(send_peer{
      .to = owner->peer_address,
      .message = release_report{.shard = shard,
                                .key = item.key,
                                .host = options_.self.host,
                                .incarnation = options_.self.incarnation,
                                .request = item.info.request}});
}

void request_router::OnStartReply(time_point now,
                                  const start_reply& reply,
                                  action_list& out) {
  const auto found = requests_.find(reply.request);
  if (found == requests_.end() ||
      found->second.current_stage != stage::kAwaitingStart) {
    // A grant that arrives after the request was refused would leave the key
    // started forever although nothing ran, so it is released. A grant that was
    // used must never be released, so only those of abandoned starts are.
    const auto abandoned = abandoned_starts_.find(reply.request);
    if (abandoned != abandoned_starts_.end() &&
        reply.result == start_result::kGranted) {
      if (const member* owner = members_.FindOwner(abandoned->second.shard)) {
        out.push_back(
            send_peer{.to = owner->peer_address, .message = abandoned->second});
      }
    }
    return;
  }
  request& item = found->second;
  switch (reply.result) {
    case start_result::kGranted:
      item.epoch = reply.epoch;
      Admit(now, item, out);
      return;
    case start_result::kNotOwner:
      return;
    case start_result::kRefused:
      Refuse(reply.request,
             {.status = status_code::kUnavailable,
              .retry_after_seconds = reply.retry_after_seconds,
              .message = "the start could not be recorded"},
             out);
      return;
    case start_result::kExpired:
      Refuse(reply.request,
             {.status = kUnprocessable,
              .message = "the Idempotency-Key is too old or from the future"},
             out);
      return;
    case start_result::kMismatch:
      // The key belongs to another request, so this one has never run.
      item.info.is_first_attempt = true;
      Refuse(reply.request,
             {.status = kUnprocessable,
              .message = "the Idempotency-Key was used for another request"},
             out);
      return;
    case start_result::kStarted:
      item.may_have_run = true;
      Refuse(reply.request,
             {.status = status_code::kConflict,
              .retry_after_seconds = 1,
              .message = "a request with this Idempotency-Key was started; "
                         "its end is not known here"},
             out);
      return;
    case start_result::kAnswered:
      out.push_back(local_response{.request = reply.request,
                                   .result = outcome::kAnswered,
                                   .status = reply.response.status,
                                   .retry_after_seconds = 0,
                                   .message = {},
                                   .recorded = reply.response});
      ++counters_.answered;
      Erase(reply.request);
      return;
  }
}

void request_router::ReportFinish(const request& item,
                                  outcome result,
                                  const recorded_response& response,
                                  action_list& out) const {
  if (!item.once || item.epoch == 0) {
    return;
  }
  const shard_number shard = ShardOf(item);
  if (const member* owner = members_.FindOwner(shard)) {
    out.push_back(send_peer{.to = owner->peer_address,
                            .message = finish_report{.shard = shard,
                                                     .key = item.key,
                                                     .result = result,
                                                     .response = response}});
  }
}

void request_router::ExpireStarts(time_point now, action_list& out) {
  std::vector<request_id> late;
  for (auto& [id, item] : requests_) {
    if (item.current_stage != stage::kAwaitingStart) {
      continue;
    }
    if (IsStartOver(now, item)) {
      late.push_back(id);
    } else if (now >= item.next_start_request) {
      SendStartRequest(now, item, out);
    }
  }
  for (const request_id id : late) {
    RefuseLateStart(id, out);
  }
}

void request_router::RefuseLateStart(request_id id, action_list& out) {
  Refuse(id,
         {.status = status_code::kUnavailable,
          .retry_after_seconds = kStartRetryAfterSeconds,
          .message = "the start could not be recorded in time"},
         out);
}

}  // namespace cuminswitch
