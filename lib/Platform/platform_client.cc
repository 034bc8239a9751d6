#include "cuminswitch/Platform/platform_client.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "cuminswitch/Net/http_call.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

/// Largest reply, in bytes.
static constexpr size_t kMaxReply = 16UL << 20;
/// A reply must be complete after this many idle time-outs.
static constexpr int kTotalTimeoutFactor = 4;

static http_call_options MakeCallOptions(const platform_client::options& opts,
                                         const platform_call& call) {
  http_call_options result{.to = opts.address,
                           .method = http_method::kGet,
                           .path = "/kv/" + call.key,
                           .headers = {},
                           .body = {},
                           .connect_timeout = opts.connect_timeout,
                           .idle_timeout = opts.call_timeout,
                           .max_body_size = kMaxReply};
  switch (call.operation) {
    case platform_operation::kRead:
      break;
    case platform_operation::kCompareAndSwap:
      result.method = http_method::kPut;
      result.headers.push_back({.name = "X-Expected-Revision",
                                .value = std::to_string(call.expected)});
      result.body = call.value;
      break;
    case platform_operation::kWatch:
      result.path += "?watch=" + std::to_string(call.expected) +
                     "&wait_ms=" + std::to_string(opts.watch_time.count());
      result.idle_timeout = opts.call_timeout + opts.watch_time;
      break;
    case platform_operation::kListHosts:
      result.path = "/hosts";
      break;
  }
  result.total_timeout = result.idle_timeout * kTotalTimeoutFactor;
  return result;
}

static revision_number ParseRevision(std::string_view text) {
  revision_number revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  return revision;
}

/// Parses `[{"host": ..., "peer_address": ..., "leaving": ...}]`; elements that
/// are not of that form are skipped.
static std::vector<listed_host> ParseHosts(std::string_view text) {
  std::vector<listed_host> hosts;
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_array()) {
    return hosts;
  }
  for (const auto& item : json) {
    if (!item.is_object()) {
      continue;
    }
    const auto address =
        ParseEndpoint(item.value("peer_address", std::string()));
    if (address) {
      hosts.push_back({.host = item.value("host", std::string()),
                       .peer_address = *address,
                       .leaving = item.value("leaving", false)});
    }
  }
  return hosts;
}

/// One call in progress.
class platform_client::pending_call : public http_call_handler {
 public:
  pending_call(platform_client& owner,
               const platform_call& call,
               reply_callback on_reply)
      : owner_(owner),
        operation_(call.operation),
        expected_(call.expected),
        on_reply_(std::move(on_reply)) {
    reply_.tag = call.tag;
    call_ = owner.client_.Start(MakeCallOptions(owner.options_, call), *this);
  }

  void OnHeaders(const http_response_head& head) override {
    status_ = head.status;
    reply_.revision = ParseRevision(head.Find("X-Revision"));
  }
  void OnData(std::string_view data) override { reply_.value += data; }

  void OnEnd(http_result result) override {
    reply_.status = result == http_result::kComplete
                        ? ReadStatus()
                        : platform_status::kNoReply;
    if (reply_.status == platform_status::kOk &&
        operation_ == platform_operation::kListHosts) {
      reply_.hosts = ParseHosts(reply_.value);
    }
    const reply_callback on_reply = std::move(on_reply_);
    const platform_reply reply = std::move(reply_);
    owner_.pending_.erase(this);
    on_reply(reply);
  }

 private:
  platform_status ReadStatus() {
    switch (status_) {
      case status_code::kOk:
        return platform_status::kOk;
      case status_code::kNotModified:
        reply_.revision = expected_;
        return platform_status::kOk;
      case status_code::kNotFound:
        return platform_status::kAbsent;
      case status_code::kConflict:
        return platform_status::kConflict;
      default:
        // After an error of the service it is unknown whether a write was
        // applied.
        return platform_status::kNoReply;
    }
  }

  platform_client& owner_;
  platform_operation operation_;
  revision_number expected_;
  reply_callback on_reply_;
  platform_reply reply_;
  uint32_t status_ = 0;
  std::unique_ptr<http_call> call_;
};

platform_client::platform_client(event_base* base, const options& opts)
    : options_(opts), client_(base) {}

platform_client::~platform_client() = default;

void platform_client::Call(const platform_call& call, reply_callback on_reply) {
  auto item = std::make_unique<pending_call>(*this, call, std::move(on_reply));
  pending_call* key = item.get();
  pending_[key] = std::move(item);
}

}  // namespace cuminswitch
