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
/// Bytes waiting for a slow caller above which reading from the upstream is
/// paused; it resumes when the caller's output buffer is empty.
static constexpr size_t kMaxPendingBytes = 256UL << 10;
/// Largest non-streamed response body, in bytes, that is buffered.
static constexpr size_t kMaxBufferedBody = 32UL << 20;
/// Largest response body, in bytes, that is recorded for repeated requests.
static constexpr size_t kMaxRecordedBody = 16UL << 10;

static http_headers OutcomeHeaders(outcome result) {
  return {{.name = "X-Cuminswitch-Outcome",
           .value = std::string(ToString(result))}};
}

request_relay::request_relay(options opts, relay_observer& observer)
    : options_(std::move(opts)), observer_(observer) {}

request_relay::~request_relay() {
  // The exchange outlives this object until the caller has received the last
  // bytes, and would call back into it.
  options_.caller->SetOnDrained(nullptr);
}

void request_relay::Dispatch(const dispatch_attempt& action,
                             http_client& client) {
  attempt_ = action.attempt;
  status_ = 0;
  content_type_.clear();
  is_stream_ = false;
  saw_data_ = false;
  buffered_body_.clear();
  body_too_long_ = false;
  reader_ = response_reader();
  recorded_body_.clear();
  is_record_complete_ = true;
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

void request_relay::RecordData(std::string_view data) {
  if (!options_.record_response || !is_record_complete_) {
    return;
  }
  if (recorded_body_.size() + data.size() > kMaxRecordedBody) {
    is_record_complete_ = false;
    recorded_body_.clear();
    return;
  }
  recorded_body_ += data;
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
  if (buffered_body_.size() + data.size() > kMaxBufferedBody) {
    body_too_long_ = true;
    return;
  }
  buffered_body_ += data;
}

void request_relay::RelayStreamData(std::string_view data) {
  reader_.Feed(data);
  RecordData(data);
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

void request_relay::OnEnd(http_result result) {
  if (is_stream_) {
    EndStream(result);
  } else {
    EndBuffered(result);
  }
}

attempt_ended request_relay::MakeAnswered() const {
  const token_usage usage =
      is_stream_ ? reader_.usage() : ReadUsage(buffered_body_);
  attempt_ended event{.attempt = attempt_,
                      .result = outcome::kAnswered,
                      .response_started = true,
                      .prompt_tokens = usage.prompt_tokens,
                      .cached_tokens = usage.cached_tokens};
  if (options_.record_response && is_record_complete_) {
    event.response = {.status = status_,
                      .content_type = content_type_,
                      .body = recorded_body_};
  }
  return event;
}

void request_relay::EndStream(http_result result) {
  if (result == http_result::kComplete && reader_.SawEnd()) {
    options_.caller->EndStream();
    ReportEnd(MakeAnswered());
    return;
  }
  // The stream ended before its terminator. So that the caller does not take
  // the truncated response for a complete one, the core sends an error event.
  ReportEnd({.attempt = attempt_,
             .result = outcome::kUnknown,
             .connection_lost = result == http_result::kBroken,
             .response_started = options_.caller->HasBegun()});
}

void request_relay::EndBuffered(http_result result) {
  if (result == http_result::kNotConnected) {
    ReportEnd(
        {.attempt = attempt_, .result = outcome::kNotRun, .unreachable = true});
    return;
  }
  if (result != http_result::kComplete || body_too_long_) {
    ReportEnd({.attempt = attempt_,
               .result = outcome::kUnknown,
               .connection_lost = result == http_result::kBroken});
    return;
  }
  // Upstreams send exactly these statuses, and no others, for a request that
  // they rejected without running it.
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
  RecordData(buffered_body_);
  options_.caller->Reply(status_, content_type_, buffered_body_,
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

void request_relay::OnCallerDisconnected() {
  if (call_ != nullptr) {
    // Reading may have been paused because the caller was slow.
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

void request_relay::SendLocalResponse(const local_response& action) {
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
