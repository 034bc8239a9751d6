#include "load_tool/caller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "cuminswitch/Net/http_call.h"
#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

static http_call_options MakeOptions(const caller::options& opts) {
  const trace_request& request = *opts.request;
  http_call_options call{
      .to = opts.address,
      .method = http_method::kPost,
      .path = "/v1/chat/completions",
      .headers = {{.name = "Authorization",
                   .value = "Bearer example-" + request.workspace},
                  {.name = "Content-Type", .value = "application/json"}}};
  if (request.once) {
    call.path = "/services/" + opts.service + "/place";
    call.headers.push_back({.name = "Idempotency-Key", .value = opts.key});
    call.body = nlohmann::json({{"order", request.order}}).dump();
    return call;
  }
  const prompt_text text = MakePrompt(request);
  const nlohmann::json body = {
      {"model", opts.model},
      {"stream", true},
      {"max_tokens", request.output_tokens},
      {"messages",
       {{{"role", "system"}, {"content", text.preamble}},
        {{"role", "system"}, {"content", text.contract}},
        {{"role", "user"}, {"content", text.order}}}}};
  call.body = body.dump();
  return call;
}

/// Returns the digest of the prompt that the engine stand-in puts into each
/// token.
static std::string DigestOf(const trace_request& request) {
  const prompt_text text = MakePrompt(request);
  return std::to_string(Hash64(text.preamble + text.contract + text.order) %
                        1'000'000'007);
}

caller::caller(const options& opts, http_client& client, callback on_done)
    : on_done_(std::move(on_done)), digest_(DigestOf(*opts.request)) {
  result_.request = opts.request;
  const http_call_options call = MakeOptions(opts);
  sent_ = clock::now();
  call_ = client.Start(call, *this);
}

caller::~caller() = default;

void caller::OnHeaders(const http_response_head& head) {
  result_.status = head.status;
  result_.outcome = head.Find("X-Cuminswitch-Outcome");
  result_.retry_after = !head.Find("Retry-After").empty();
}

void caller::OnData(std::string_view data) {
  if (result_.first_token < 0 && result_.status == status_code::kOk) {
    result_.first_token =
        std::chrono::duration<double>(clock::now() - sent_).count();
  }
  reader_.Feed(data);
  body_ += data;
}

void caller::CheckTokens() {
  size_t at = 0;
  for (uint32_t i = 0; i < result_.request->output_tokens; ++i) {
    const std::string token = "w" + std::to_string(i) + "-" + digest_;
    at = body_.find(token, at);
    if (at == std::string::npos) {
      result_.crossed = true;
      return;
    }
    at += token.size();
  }
}

void caller::OnEnd(http_result end) {
  result_.total_time =
      std::chrono::duration<double>(clock::now() - sent_).count();
  const bool streamed =
      result_.status == status_code::kOk && !result_.request->once;
  if (streamed) {
    result_.truncated = end != http_result::kComplete || !reader_.SawEnd();
    const bool error_reported = body_.find("event: error") != std::string::npos;
    if (!result_.truncated) {
      CheckTokens();
      result_.outcome = "answered";
    } else if (error_reported) {
      // The stream ended with an error event, so that the caller knows that the
      // response is incomplete.
      result_.truncated = false;
      result_.outcome = "unknown";
    }
    result_.usage = reader_.usage();
  } else if (end != http_result::kComplete) {
    result_.outcome = "unknown";
  }
  const callback on_done = std::move(on_done_);
  on_done(*this, result_);
}

}  // namespace cuminswitch
