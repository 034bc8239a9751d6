#include "soak/soak_caller.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdlib>
#include <utility>
#include <vector>

#include "cuminswitch/Net/socket_address.h"

namespace cuminswitch::soak {

/// Time after the deadline by which a daemon must have responded: the
/// guaranteed 0.5 s and an allowance for a loaded test machine.
static constexpr std::chrono::milliseconds kResponseMargin{2'500};
static constexpr std::chrono::milliseconds kReconnectDelay{40};
/// Longest pause between a response and the next request.
static constexpr int kMaxThinkTimeMs = 40;
/// One request in this many makes its upstream misbehave on purpose.
static constexpr uint64_t kFailingRequestPeriod = 8;
/// One request in this many crashes its upstream, if `sends_crashing` is set.
static constexpr uint64_t kCrashingRequestPeriod = 40;
/// One request in this many names the prompt part that crashes upstreams.
static constexpr uint64_t kCrashingPartPeriod = 12;
/// Shared prompt parts among which requests choose.
static constexpr uint64_t kSharedParts = 8;
/// How often a caller resumes one stream.
static constexpr int kMaxResumptions = 3;
/// Time during which all callers send the same crashing request.
static constexpr std::chrono::seconds kCrashGroupTime{8};

soak_caller::soak_caller(event_base* base,
                         options opts,
                         guarantee_checker& checker)
    : base_(base),
      options_(std::move(opts)),
      checker_(checker),
      random_(options_.seed),
      timer_(base, [this] {
        if (is_waiting_) {
          response_.has_timed_out = true;
          OnClosed();
        } else if (connection_ == nullptr) {
          Connect();
        } else {
          SendNext();
        }
      }) {
  Connect();
}

soak_caller::~soak_caller() {
  Disconnect();
}

void soak_caller::Disconnect() {
  if (connection_ != nullptr) {
    bufferevent_free(std::exchange(connection_, nullptr));
  }
}

void soak_caller::Connect() {
  if (is_stopping_) {
    return;
  }
  daemon_ = options_.choose_daemon();
  reader_ = std::make_unique<message_reader>(
      message_reader::options{.reads = message_reader::kind::kResponse}, *this);
  connection_ = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      connection_,
      [](bufferevent* /*side*/, void* self) {
        static_cast<soak_caller*>(self)->OnReadable();
      },
      nullptr,
      [](bufferevent* /*side*/, short what, void* self) {
        if ((what & BEV_EVENT_CONNECTED) == 0) {
          static_cast<soak_caller*>(self)->OnClosed();
        }
      },
      this);
  bufferevent_enable(connection_, EV_READ | EV_WRITE);
  const sockaddr_in address = ToSocketAddress(daemon_);
  bufferevent_socket_connect(connection_,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address));
  SendNext();
}

void soak_caller::SendNext() {
  if (is_stopping_) {
    Disconnect();
    return;
  }
  static constexpr std::array<const char*, 4> kRoutes = {
      "/once/", "/repeat/", "/stream/", "/resume/"};
  static constexpr std::array<const char*, 3> kFailurePaths = {"fail/", "cut/",
                                                               "refuse/"};
  const bool is_resumable = options_.sends_slow && random_() % 2 == 0;
  const size_t route =
      is_resumable ? kRoutes.size() - 1 : random_() % kRoutes.size();
  const auto [credential, workspace] = options_.choose_workspace(random_);
  request_ = {.id = options_.name + "-" + std::to_string(++count_),
              .path = kRoutes[route],
              .workspace = workspace,
              .daemon = daemon_,
              .sent_at = std::chrono::steady_clock::now(),
              .time_allowed = options_.deadline,
              .is_once = route == 0 || route == 2,
              .is_stream = route >= 2,
              .provokes_failure = random_() % kFailingRequestPeriod == 0};
  if (request_.provokes_failure) {
    request_.path += kFailurePaths[random_() % kFailurePaths.size()];
  }
  response_ = {};
  const bool is_slow = options_.sends_slow ? request_.is_stream
                                           : options_.resumes_streams &&
                                                 request_.path == "/resume/" &&
                                                 random_() % 2 == 0;
  if (is_slow) {
    request_.path += "slow/";
  }
  const std::string resumption = MakeResumption();
  const bool is_equal =
      options_.sends_equal && !request_.provokes_failure && random_() % 2 == 0;
  std::string body = is_equal ? "standing order" : "order " + request_.id;
  std::string key = credential;
  if (options_.sends_crashing && random_() % kCrashingRequestPeriod == 0) {
    MakeCrashing(body);
    key = "key1";
  }
  const std::string crashing_part =
      options_.choose_crashing_part ? options_.choose_crashing_part() : "";
  if (!crashing_part.empty() && random_() % kCrashingPartPeriod == 0) {
    MakePartCrashing(crashing_part);
    key = "key1";
  }
  request_.credential = key;
  checker_.OnSent(request_);
  const std::string text =
      "POST " + request_.path +
      "x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + request_.id +
      "\r\nX-Deadline-Ms: " + std::to_string(options_.deadline.count()) +
      "\r\nX-Model: m\r\nX-Token-Usage: 100,10\r\nX-Prompt-Prefix: " +
      MakePromptParts() + "\r\nAuthorization: Token " + key + resumption +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  is_waiting_ = true;
  bufferevent_write(connection_, text.data(), text.size());
  timer_.Start(options_.deadline + kResponseMargin);
}

void soak_caller::MakeCrashing(std::string& body) {
  const auto since = request_.sent_at.time_since_epoch() / kCrashGroupTime;
  const bool is_once = since % 2 == 0;
  body = "crashing order " + std::to_string(since);
  request_.path = is_once ? "/once/crash/" : "/resume/crash/";
  request_.workspace = "w1";
  request_.is_once = is_once;
  request_.is_stream = !is_once;
  request_.provokes_failure = true;
  request_.crash_group = body;
}

void soak_caller::MakePartCrashing(const std::string& part) {
  static constexpr std::array<const char*, 2> kRoutes = {"/stream/",
                                                         "/resume/"};
  // The response ends inside chunks, inside an event, or between two events. By
  // the last digit of the part, all its responses end alike or each its own
  // way.
  static constexpr std::array<const char*, 3> kEndPaths = {"", "inside/",
                                                           "between/"};
  const auto way = static_cast<size_t>(part.back() - '0') % 4;
  const size_t route = random_() % kRoutes.size();
  request_.path = kRoutes[route];
  request_.path +=
      kEndPaths[way < kEndPaths.size() ? way : random_() % kEndPaths.size()];
  request_.workspace = "w1";
  request_.is_once = route == 0;
  request_.is_stream = true;
  request_.provokes_failure = true;
  request_.crashing_part = part;
}

std::string soak_caller::MakePromptParts() {
  const std::string last = request_.id + ":10";
  if (!options_.choose_crashing_part) {
    return "aa:50,bb:40," + last;
  }
  std::vector<std::string> shared = {
      "aa:50", "b" + std::to_string(random_() % kSharedParts) + ":40"};
  if (!request_.crashing_part.empty()) {
    const auto at = static_cast<std::ptrdiff_t>(random_() % 3);
    shared.insert(shared.begin() + at, request_.crashing_part + ":30");
  }
  std::string list;
  for (const std::string& part : shared) {
    list += part + ",";
  }
  return list + last;
}

std::string soak_caller::MakeResumption() {
  if (begun_attempt_.empty()) {
    return {};
  }
  request_.path = begun_path_;
  request_.is_once = false;
  request_.is_stream = true;
  request_.is_resumption = true;
  request_.provokes_failure = false;
  const size_t last = begun_events_.rfind("id: ") + std::string("id: ").size();
  return "\r\nLast-Event-Id: " +
         begun_events_.substr(last, begun_events_.find('\n', last) - last) +
         "\r\nResumes: " + begun_attempt_;
}

void soak_caller::KeepBegunStream() {
  const bool is_resumable =
      request_.path.starts_with("/resume/") && request_.crash_group.empty();
  const size_t end = response_.body.rfind("\n\n");
  if (!options_.resumes_streams || !is_resumable || response_.is_complete ||
      end == std::string::npos || ++resumptions_ > kMaxResumptions) {
    begun_attempt_.clear();
    begun_events_.clear();
    resumptions_ = 0;
    return;
  }
  begun_events_ = response_.body.substr(0, end + 2);
  begun_path_ = request_.path;
  if (begun_attempt_.empty()) {
    begun_attempt_ = request_.id;
  }
}

void soak_caller::OnHead(message_head head) {
  response_.status = head.status;
  response_.head_at = std::chrono::steady_clock::now();
  response_.echoed_id = head.Find("X-Attempt-Id");
  response_.upstream = head.Find("X-Replica-Stamp");
  response_.advertises_limit = head.Has("Server-Limit");
  response_.announces_leaving = head.Has("Server-Leaving");
  response_.has_retry_after = head.Has("Retry-After");
  const double seconds =
      std::atof(std::string(head.Find("Retry-After")).c_str());
  response_.retry_after =
      std::chrono::milliseconds(std::lround(seconds * 1000));
  keeps_connection_ = head.keep_alive;
}

void soak_caller::OnBody(std::string_view data) {
  response_.body += data;
}

void soak_caller::OnReadable() {
  evbuffer* input = bufferevent_get_input(connection_);
  std::string data(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, data.data(), data.size());
  std::string_view rest = data;
  while (!rest.empty()) {
    if (!is_waiting_) {
      checker_.ReportViolation(
          "mixed", options_.name + " got bytes while no request was pending");
      Disconnect();
      timer_.Start(kReconnectDelay);
      return;
    }
    size_t consumed = 0;
    const read_result result = reader_->Read(rest, consumed);
    rest.remove_prefix(consumed);
    if (result == read_result::kNeedMore) {
      return;
    }
    if (result != read_result::kMessageDone) {
      checker_.ReportViolation("mixed",
                               request_.id + " got a malformed response");
      OnClosed();
      return;
    }
    response_.is_complete = true;
    EndRequest();
    if (!keeps_connection_) {
      Disconnect();
      timer_.Start(reconnect_delay_);
      return;
    }
  }
}

void soak_caller::EndRequest() {
  is_waiting_ = false;
  response_.body.insert(0, begun_events_);
  response_.is_daemon_undisturbed =
      options_.is_undisturbed(daemon_, request_.sent_at);
  checker_.OnResponse(request_, response_);
  KeepBegunStream();
  const bool is_refused =
      options_.keeps_retry_after && response_.retry_after.count() > 0;
  // A connection that rests until then may be closed as idle just as the next
  // request is sent.
  keeps_connection_ = keeps_connection_ && !is_refused;
  reconnect_delay_ = is_refused
                         ? std::max(kReconnectDelay, response_.retry_after)
                         : kReconnectDelay;
  timer_.Start(std::chrono::milliseconds(1 + random_() % kMaxThinkTimeMs));
}

void soak_caller::OnClosed() {
  if (is_waiting_) {
    EndRequest();
  }
  Disconnect();
  timer_.Start(kReconnectDelay);
}

}  // namespace cuminswitch::soak
