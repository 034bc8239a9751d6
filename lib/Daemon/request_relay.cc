#include "cuminswitch/Daemon/request_relay.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "cuminswitch/Net/http_call.h"
#include "cuminswitch/Net/http_exchange.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

static constexpr uint32_t kServerError = 500;
static constexpr std::string_view kEventStream = "text/event-stream";
static constexpr std::string_view kJson = "application/json";
/// Bytes that a slow caller may leave unread before the upstream is no longer
/// read; resumed when they are taken.
static constexpr size_t kMaxPendingBytes = 256UL << 10;
/// A longer answer that is not a stream cannot be held whole.
static constexpr size_t kMaxWholeBody = 32UL << 20;
/// Longest answer kept for a repeat of its key.
static constexpr size_t kMaxKeptBody = 16UL << 10;

static http_headers OutcomeHeaders(outcome result) {
  return {{.name = "X-Cuminswitch-Outcome",
           .value = std::string(ToString(result))}};
}

request_relay::request_relay(options opts, relay_observer& observer)
    : options_(std::move(opts)), observer_(observer) {}

request_relay::~request_relay() {
  // The exchange lives on until the caller has taken the last bytes, and would
  // call back into this object.
  options_.caller->SetOnDrained(nullptr);
}

void request_relay::Dispatch(const dispatch_attempt& action,
                             http_client& client) {
  attempt_ = action.attempt;
  status_ = 0;
  content_type_.clear();
  is_stream_ = false;
  saw_data_ = false;
  whole_body_.clear();
  body_too_long_ = false;
  reader_ = answer_reader();
  kept_.clear();
  kept_whole_ = true;
  http_headers headers = options_.headers;
  headers.push_back(
      {.name = "X-Request-Id", .value = std::to_string(action.attempt)});
  headers.push_back(
      {.name = "X-Cache-Scope", .value = std::to_string(action.cache_scope)});
  if (action.fencing != 0) {
    headers.push_back(
        {.name = "X-Fencing-Number", .value = std::to_string(action.fencing)});
  }
  call_ = client.Start({.to = action.address,
                        .method = options_.method,
                        .path = options_.path,
                        .headers = std::move(headers),
                        .body = options_.body,
                        .connect_timeout = options_.connect_timeout,
                        .idle_timeout = options_.idle_timeout,
                        .fresh_connection = action.fresh_connection},
                       *this);
}

void request_relay::OnHeaders(const http_response_head& head) {
  status_ = head.status;
  content_type_ = head.Find("Content-Type");
  is_stream_ = status_ < 300 && content_type_.starts_with(kEventStream);
}

void request_relay::Keep(std::string_view data) {
  if (!options_.keep_answer || !kept_whole_) {
    return;
  }
  if (kept_.size() + data.size() > kMaxKeptBody) {
    kept_whole_ = false;
    kept_.clear();
    return;
  }
  kept_ += data;
}

void request_relay::OnData(std::string_view data) {
  const auto now = std::chrono::steady_clock::now();
  if (!saw_data_) {
    saw_data_ = true;
    observer_.OnRelayEvent(attempt_first_byte{.attempt = attempt_});
    observer_.OnFirstToken(*this);
  } else if (is_stream_) {
    observer_.OnTokenGap(
        *this, std::chrono::duration<double>(now - last_data_).count());
  }
  last_data_ = now;
  if (is_stream_) {
    RelayStreamData(data);
    return;
  }
  if (whole_body_.size() + data.size() > kMaxWholeBody) {
    body_too_long_ = true;
    return;
  }
  whole_body_ += data;
}

void request_relay::RelayStreamData(std::string_view data) {
  reader_.Feed(data);
  Keep(data);
  http_exchange& caller = *options_.caller;
  if (!caller.HasBegun()) {
    caller.BeginStream(status_, content_type_,
                       {{.name = "X-Accel-Buffering", .value = "no"}});
  }
  caller.SendChunk(data);
  if (caller.PendingBytes() > kMaxPendingBytes) {
    call_->PauseReading();
    caller.SetOnDrained([this] {
      if (call_ != nullptr) {
        call_->ResumeReading();
      }
    });
  }
}

void request_relay::OnEnd(http_result end) {
  if (is_stream_) {
    EndStream(end);
  } else {
    EndWhole(end);
  }
}

attempt_ended request_relay::MakeAnswered() const {
  const token_usage usage =
      is_stream_ ? reader_.usage() : ReadUsage(whole_body_);
  attempt_ended event{.attempt = attempt_,
                      .result = outcome::kAnswered,
                      .answer_begun = true,
                      .prompt_tokens = usage.prompt_tokens,
                      .cached_tokens = usage.cached_tokens};
  if (options_.keep_answer && kept_whole_) {
    event.answer = {
        .status = status_, .content_type = content_type_, .body = kept_};
  }
  return event;
}

void request_relay::EndStream(http_result end) {
  if (end == http_result::kComplete && reader_.SawEnd()) {
    options_.caller->EndStream();
    ReportEnd(MakeAnswered());
    return;
  }
  // The stream broke off before its terminal mark. The caller must not take
  // what it has for the whole, so the core will answer with an error event.
  ReportEnd({.attempt = attempt_,
             .result = outcome::kUnknown,
             .broke_off = end == http_result::kBroken,
             .answer_begun = options_.caller->HasBegun()});
}

void request_relay::EndWhole(http_result end) {
  if (end == http_result::kNotConnected) {
    ReportEnd(
        {.attempt = attempt_, .result = outcome::kNotRun, .unreachable = true});
    return;
  }
  if (end == http_result::kBroken || body_too_long_) {
    ReportEnd({.attempt = attempt_,
               .result = outcome::kUnknown,
               .broke_off = end == http_result::kBroken});
    return;
  }
  // An upstream refuses before it runs with these, and only with these.
  if (status_ == status_code::kTooManyRequests ||
      status_ == status_code::kUnavailable ||
      status_ == status_code::kPreconditionFailed) {
    ReportEnd({.attempt = attempt_,
               .result = outcome::kNotRun,
               .refused_busy = true});
    return;
  }
  if (status_ >= kServerError) {
    ReportEnd({.attempt = attempt_, .result = outcome::kUnknown});
    return;
  }
  Keep(whole_body_);
  options_.caller->Reply(status_, content_type_, whole_body_,
                         OutcomeHeaders(outcome::kAnswered));
  ReportEnd(MakeAnswered());
}

void request_relay::ReportEnd(attempt_ended event) {
  const outcome result = event.result;
  call_.reset();
  observer_.OnRelayEvent(std::move(event));
  if (result == outcome::kAnswered) {
    observer_.OnRelayDone(*this, result);
  }
}

void request_relay::OnCallerGone() {
  if (call_ != nullptr) {
    // It may have been paused for the caller's sake.
    call_->ResumeReading();
  }
}

void request_relay::SendErrorEvent(const local_response& action) {
  const nlohmann::json error = {
      {"error",
       {{"message", action.message}, {"outcome", ToString(action.result)}}}};
  options_.caller->SendChunk("event: error\ndata: " + error.dump() + "\n\n");
  options_.caller->EndStream();
}

void request_relay::Answer(const local_response& action) {
  http_exchange& caller = *options_.caller;
  http_headers headers = OutcomeHeaders(action.result);
  if (action.retry_after_seconds != 0) {
    headers.push_back({.name = "Retry-After",
                       .value = std::to_string(action.retry_after_seconds)});
  }
  if (caller.HasBegun()) {
    SendErrorEvent(action);
  } else if (action.recorded.status != 0) {
    headers.push_back({.name = "X-Cuminswitch-Repeated", .value = "true"});
    caller.Reply(action.recorded.status, action.recorded.content_type,
                 action.recorded.body, headers);
  } else {
    const nlohmann::json error = {
        {"error",
         {{"message", action.message}, {"outcome", ToString(action.result)}}}};
    caller.Reply(action.status, kJson, error.dump(), headers);
  }
  observer_.OnRelayDone(*this, action.result);
}

}  // namespace cuminswitch
