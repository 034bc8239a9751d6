#include "soak/soak_caller.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <array>
#include <utility>

#include "cuminswitch/Net/socket_address.h"

namespace cuminswitch::soak {

/// What the caller waits at most, as it tells the daemon.
static constexpr std::chrono::milliseconds kDeadline{2'000};
/// Past the deadline, by which a daemon must have answered: half a second as
/// promised, and what a loaded test machine may add.
static constexpr std::chrono::milliseconds kOverdue{2'500};
static constexpr std::chrono::milliseconds kReconnectPause{40};
static constexpr int kLongestPauseMs = 40;
/// One request in so many goes to an upstream that misbehaves on purpose.
static constexpr uint64_t kSpoiltPart = 8;
/// One in so many crashes its upstream, where any does.
static constexpr uint64_t kCrashingPart = 40;
/// For so long all callers' requests of this kind are one request.
static constexpr std::chrono::seconds kCrashingTime{8};

soak_caller::soak_caller(event_base* base, options opts, promise_ledger& ledger)
    : base_(base),
      options_(std::move(opts)),
      ledger_(ledger),
      random_(options_.seed),
      timer_(base, [this] {
        if (is_waiting_) {
          answer_.is_overdue = true;
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
  static constexpr std::array<const char*, 3> kSpoilt = {"fail/", "cut/",
                                                         "refuse/"};
  const size_t route = random_() % kRoutes.size();
  const auto [credential, workspace] = options_.choose_workspace(random_);
  request_ = {.id = options_.name + "-" + std::to_string(++count_),
              .path = kRoutes[route],
              .workspace = workspace,
              .daemon = daemon_,
              .sent_at = std::chrono::steady_clock::now(),
              .is_once = route == 0 || route == 2,
              .is_stream = route >= 2,
              .is_spoilt = random_() % kSpoiltPart == 0};
  if (request_.is_spoilt) {
    request_.path += kSpoilt[random_() % kSpoilt.size()];
  }
  answer_ = {};
  std::string body = "order " + request_.id;
  std::string key = credential;
  if (options_.sends_crashing && random_() % kCrashingPart == 0) {
    MakeCrashing(body);
    key = "key1";
  }
  ledger_.OnSent(request_);
  const std::string text =
      "POST " + request_.path +
      "x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + request_.id +
      "\r\nX-Deadline-Ms: " + std::to_string(kDeadline.count()) +
      "\r\nX-Model: m\r\nX-Token-Usage: 100,10\r\nX-Prompt-Prefix: "
      "aa:50,bb:40," +
      request_.id + ":10\r\nAuthorization: Token " + key +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  is_waiting_ = true;
  bufferevent_write(connection_, text.data(), text.size());
  timer_.Start(kDeadline + kOverdue);
}

void soak_caller::MakeCrashing(std::string& body) {
  const auto since = request_.sent_at.time_since_epoch() / kCrashingTime;
  const bool is_once = since % 2 == 0;
  body = "crashing order " + std::to_string(since);
  request_.path = is_once ? "/once/crash/" : "/resume/crash/";
  request_.workspace = "w1";
  request_.is_once = is_once;
  request_.is_stream = !is_once;
  request_.is_spoilt = true;
  request_.crashing_as = body;
}

void soak_caller::OnHead(message_head head) {
  answer_.status = head.status;
  answer_.echoed_id = head.Find("X-Attempt-Id");
  answer_.upstream = head.Find("X-Replica-Stamp");
  answer_.names_limit = head.Has("Server-Limit");
  answer_.says_leaving = head.Has("Server-Leaving");
  answer_.has_retry_after = head.Has("Retry-After");
  is_kept_ = head.keep_alive;
}

void soak_caller::OnBody(std::string_view data) {
  answer_.body += data;
}

void soak_caller::OnReadable() {
  evbuffer* input = bufferevent_get_input(connection_);
  std::string data(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, data.data(), data.size());
  std::string_view rest = data;
  while (!rest.empty()) {
    if (!is_waiting_) {
      ledger_.Find("mixed", options_.name + " got bytes for no request");
      Disconnect();
      timer_.Start(kReconnectPause);
      return;
    }
    size_t consumed = 0;
    const read_result result = reader_->Read(rest, consumed);
    rest.remove_prefix(consumed);
    if (result == read_result::kNeedMore) {
      return;
    }
    if (result != read_result::kMessageDone) {
      ledger_.Find("mixed", request_.id + " got what is no answer");
      OnClosed();
      return;
    }
    answer_.is_whole = true;
    EndRequest();
    if (!is_kept_) {
      Disconnect();
      timer_.Start(kReconnectPause);
      return;
    }
  }
}

void soak_caller::EndRequest() {
  is_waiting_ = false;
  answer_.is_daemon_sound = options_.is_sound(daemon_, request_.sent_at);
  ledger_.OnAnswer(request_, answer_);
  timer_.Start(std::chrono::milliseconds(1 + random_() % kLongestPauseMs));
}

void soak_caller::OnClosed() {
  if (is_waiting_) {
    EndRequest();
  }
  Disconnect();
  timer_.Start(kReconnectPause);
}

}  // namespace cuminswitch::soak
