#include "upstream_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <limits>
#include <string>
#include <utility>

#include "cuminswitch/Http1/upstream_pool.h"
#include "cuminswitch/Net/counted_stream.h"
#include "cuminswitch/Net/socket_address.h"
#include "host_prober.h"
#include "pooled_call.h"
#include "read_front.h"

namespace cuminswitch {

/// How long a connection stays in the pool if its upstream announces no
/// keep-alive time; such an upstream may close it at any moment.
static constexpr std::chrono::seconds kDefaultKeepAliveTime{1};
/// Largest head and body of a response, in bytes.
static constexpr size_t kMaxResponseHead = 64UL << 10;
static constexpr size_t kMaxResponseBody = 256UL << 20;
/// `TCP_USER_TIMEOUT`: the kernel closes the connection if sent bytes stay
/// unacknowledged for this long, which detects a host that lost power. It is
/// long enough to retransmit after two consecutive lost packets.
static constexpr std::chrono::milliseconds kUserTimeout{700};
/// While a large request is sent the kernel has no such limit, as it would also
/// end a connection whose window stays full because the upstream's process is
/// stopped. Lost hosts are probed for instead; a connection that alone is lost,
/// unreported, ends at the request's time limits.
static constexpr std::chrono::milliseconds kNoUserTimeout{0};
/// Smaller requests fit into the window with which an upstream begins.
static constexpr size_t kLargeRequest = 16UL << 10;
static constexpr std::chrono::milliseconds kHostCheckInterval{100};
/// The same once the upstream has closed its side.
static constexpr std::chrono::milliseconds kClosingCheckInterval{10};
/// How long a host acknowledges nothing before it is probed.
static constexpr std::chrono::milliseconds kProbedSilence{400};
/// How long the kernel reports no acknowledgement until the connection counts
/// as lost. `kUserTimeout` takes as long, since it elapses at a retransmission.
static constexpr std::chrono::milliseconds kReportedSilence{1'100};
/// Probes of a full window without an acknowledgement; the last one may still
/// be on its way.
static constexpr uint32_t kUnansweredProbes = 2;

upstream_connection::upstream_connection(upstream_pool& pool,
                                         const endpoint& to)
    : pool_(pool),
      to_(to),
      reader_({.reads = message_reader::kind::kResponse,
               .max_head_size = kMaxResponseHead,
               .max_body_size = kMaxResponseBody},
              *this),
      timer_(pool.base_, [this] { OnTimeout(); }),
      host_timer_(pool.base_, [this] { CheckHost(); }) {
  stream_ = bufferevent_socket_new(pool.base_, -1, BEV_OPT_CLOSE_ON_FREE);
  const auto on_read = [](bufferevent* /*stream*/, void* raw) {
    static_cast<upstream_connection*>(raw)->OnReadable();
  };
  const auto on_event = [](bufferevent* /*stream*/, short what, void* raw) {
    static_cast<upstream_connection*>(raw)->OnEvent(what);
  };
  bufferevent_setcb(stream_, on_read, nullptr, on_event, this);
  counted_ = std::make_unique<counted_stream>(stream_, pool.account_);
  bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

upstream_connection::~upstream_connection() {
  counted_.reset();
  bufferevent_free(stream_);
}

static std::string WriteHead(const upstream_request& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const http_header& item : request.headers) {
    text.append(item.name).append(": ").append(item.value).append("\r\n");
  }
  const bool has_body = !request.body.empty() || request.method != "GET";
  if (has_body) {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n";
}

void upstream_connection::Send(const upstream_request& request,
                               pooled_call& call) {
  call_ = &call;
  is_reusable_ = false;
  timer_.Cancel();
  is_head_request_ = request.method == "HEAD";
  if (is_head_request_) {
    reader_.ExpectNoBody();
  }
  const std::string head = WriteHead(request);
  bufferevent_write(stream_, head.data(), head.size());
  bufferevent_write(stream_, request.body.data(), request.body.size());
  if (!is_connected_) {
    Connect(request.connect_timeout);
  }
  const bool is_large = request.body.size() >= kLargeRequest;
  LimitKernelWait(is_large ? kNoUserTimeout : kUserTimeout);
  if (is_large) {
    unacknowledged_ = std::numeric_limits<size_t>::max();
    host_timer_.Start(kHostCheckInterval);
  }
}

void upstream_connection::Connect(std::chrono::milliseconds timeout) {
  const sockaddr_in address = ToSocketAddress(to_);
  timer_.Start(timeout);
  if (bufferevent_socket_connect(stream_,
                                 reinterpret_cast<const sockaddr*>(&address),
                                 sizeof(address)) != 0) {
    // The timer reports the failure from the event loop.
    timer_.Start(std::chrono::milliseconds(0));
    return;
  }
  const int fd = bufferevent_getfd(stream_);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void upstream_connection::LimitKernelWait(std::chrono::milliseconds limit) {
  if (std::exchange(kernel_wait_, limit) == limit) {
    return;
  }
  const int value = static_cast<int>(limit.count());
  setsockopt(bufferevent_getfd(stream_), IPPROTO_TCP, TCP_USER_TIMEOUT, &value,
             sizeof(value));
}

size_t upstream_connection::UnacknowledgedBytes() const {
  int in_kernel = 0;
  ioctl(bufferevent_getfd(stream_), SIOCOUTQ, &in_kernel);
  return evbuffer_get_length(bufferevent_get_output(stream_)) +
         static_cast<size_t>(in_kernel);
}

/// Whether the kernel reports that \p fd's peer acknowledges nothing. Some
/// hosts and networks never report it, so only a positive report counts.
static bool IsReportedSilent(int fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size);
  return (info.tcpi_unacked > 0 || info.tcpi_probes >= kUnansweredProbes) &&
         info.tcpi_last_ack_recv >= kReportedSilence.count();
}

/// Returns the cause of a connection's end that \p error, an `errno`, states.
static call_end_cause CauseOf(int error) {
  switch (error) {
    case ECONNRESET:
    case ECONNREFUSED:
    case EPIPE:
      return call_end_cause::kUpstreamReset;
    // After `TCP_USER_TIMEOUT` the kernel reports the last ICMP error, if any.
    case ETIMEDOUT:
    case EHOSTUNREACH:
    case ENETUNREACH:
      return call_end_cause::kUserTimeout;
    default:
      return call_end_cause::kOtherError;
  }
}

void upstream_connection::CheckHost() {
  if (call_ == nullptr) {
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  const size_t left = UnacknowledgedBytes();
  if (left < unacknowledged_ || !is_connected_) {
    unacknowledged_ = left;
    progressed_ = now;
  }
  LimitKernelWait(left == 0 ? kUserTimeout : kNoUserTimeout);
  if (has_upstream_closed_ && EndIfSettled(left)) {
    return;
  }
  if (left == 0) {
    return;
  }
  if (const auto cause = FindLoss(now - progressed_)) {
    ResetOnClose();
    End(upstream_call_result::kBroken, *cause);
    return;
  }
  host_timer_.Start(has_upstream_closed_ ? kClosingCheckInterval
                                         : kHostCheckInterval);
}

bool upstream_connection::EndIfSettled(size_t unacknowledged) {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    End(upstream_call_result::kBroken, CauseOf(error));
  } else if (unacknowledged == 0) {
    EndAtClose();
  } else {
    return false;
  }
  return true;
}

void upstream_connection::EndAtClose() {
  const bool is_whole = reader_.ReadEnd() == read_result::kMessageDone &&
                        owner_ != response_owner::kOtherCall;
  close_announced_ = true;
  End(is_whole ? upstream_call_result::kComplete
               : upstream_call_result::kBroken,
      call_end_cause::kUpstreamClosed);
}

std::optional<call_end_cause> upstream_connection::FindLoss(
    std::chrono::steady_clock::duration silence) {
  if (silence >= kReportedSilence &&
      IsReportedSilent(bufferevent_getfd(stream_))) {
    return call_end_cause::kUserTimeout;
  }
  if (silence >= kProbedSilence &&
      pool_.prober_->Ask(to_, progressed_) == host_prober::verdict::kLost) {
    return call_end_cause::kHostLost;
  }
  return std::nullopt;
}

void upstream_connection::Cancel() {
  call_ = nullptr;
  ResetOnClose();
}

void upstream_connection::ResetOnClose() {
  // With an orderly close, a request that is still queued would be delivered
  // and run although its caller has left; a reset drops it.
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &reset,
             sizeof(reset));
}

void upstream_connection::SetReading(bool on) {
  if (on) {
    bufferevent_enable(stream_, EV_READ);
  } else {
    bufferevent_disable(stream_, EV_READ);
  }
}

std::chrono::milliseconds upstream_connection::IdleFor() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - idle_since_);
}

bool upstream_connection::HasUnsentBytes() const {
  return evbuffer_get_length(bufferevent_get_output(stream_)) > 0;
}

/// Parses `timeout=N`, in seconds, from a `Keep-Alive` field.
static std::chrono::seconds ParseKeepAliveTimeout(std::string_view field) {
  static constexpr std::string_view kTimeout = "timeout=";
  const size_t at = field.find(kTimeout);
  if (at == std::string_view::npos) {
    return kDefaultKeepAliveTime;
  }
  const std::string_view digits = field.substr(at + kTimeout.size());
  int seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds(seconds);
}

void upstream_connection::OnHead(message_head head) {
  ends_with_connection_ = head.ends_with_connection;
  close_announced_ = !head.keep_alive || ends_with_connection_;
  keep_alive_time_ = ParseKeepAliveTimeout(head.Find("Keep-Alive"));
  if (call_ == nullptr) {
    return;
  }
  upstream_handler& handler = call_->handler();
  owner_ = handler.OwnerOf(head);
  if (owner_ == response_owner::kOtherCall) {
    handler.OnOtherResponse(head);
  } else {
    handler.OnResponseHead(head);
  }
}

void upstream_connection::OnBody(std::string_view data) {
  if (call_ != nullptr && owner_ != response_owner::kOtherCall) {
    call_->handler().OnResponseBody(data);
  }
}

void upstream_connection::OnReadable() {
  evbuffer* input = bufferevent_get_input(stream_);
  if (call_ == nullptr) {
    // Unsolicited bytes: they could be taken for the response to the next
    // request on this connection.
    is_reusable_ = false;
    pool_.DropIdle(this);
    return;
  }
  while (call_ != nullptr && evbuffer_get_length(input) > 0) {
    const read_result result = ReadFront(reader_, input);
    const bool is_other = owner_ == response_owner::kOtherCall;
    if (is_other && is_head_request_) {
      // Only the response to a HEAD has no body.
      End(upstream_call_result::kMalformed, call_end_cause::kMalformed);
      return;
    }
    if (is_other && result == read_result::kMessageDone) {
      owner_ = response_owner::kThisCall;
      continue;
    }
    if (result == read_result::kMessageDone) {
      End(upstream_call_result::kComplete, call_end_cause::kFraming);
      return;
    }
    if (result != read_result::kNeedMore) {
      End(upstream_call_result::kMalformed, call_end_cause::kMalformed);
      return;
    }
  }
}

void upstream_connection::OnEvent(short what) {
  const int error = EVUTIL_SOCKET_ERROR();
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    is_connected_ = true;
    timer_.Cancel();
    return;
  }
  is_reusable_ = false;
  if (call_ == nullptr) {
    pool_.DropIdle(this);
    return;
  }
  const bool is_orderly = (what & BEV_EVENT_EOF) != 0;
  const call_end_cause cause =
      is_orderly ? call_end_cause::kUpstreamClosed : CauseOf(error);
  if (!is_connected_) {
    End(upstream_call_result::kNotConnected, cause);
    return;
  }
  if (!is_orderly) {
    End(upstream_call_result::kBroken, cause);
    return;
  }
  // An upstream that does not read the rest of the request resets the
  // connection after the orderly end, which is then not the end of a response.
  if (reader_.IsInBody() && ends_with_connection_ &&
      UnacknowledgedBytes() > 0) {
    has_upstream_closed_ = true;
    host_timer_.Start(kClosingCheckInterval);
    return;
  }
  EndAtClose();
}

void upstream_connection::OnTimeout() {
  if (call_ == nullptr) {
    pool_.DropIdle(this);
    return;
  }
  if (!is_connected_) {
    End(upstream_call_result::kNotConnected, call_end_cause::kConnectTimeout);
  }
}

void upstream_connection::End(upstream_call_result result,
                              call_end_cause cause) {
  ++served_;
  host_timer_.Cancel();
  const bool has_more = evbuffer_get_length(bufferevent_get_input(stream_)) > 0;
  // If the response arrived before the request was completely sent, the
  // upstream still expects the rest of the request, so nothing else may be sent
  // on the connection.
  is_reusable_ = result == upstream_call_result::kComplete &&
                 std::exchange(owner_, response_owner::kThisCall) ==
                     response_owner::kThisCall &&
                 !close_announced_ && !has_more && !HasUnsentBytes() &&
                 keep_alive_time_.count() > 0;
  idle_since_ = std::chrono::steady_clock::now();
  if (is_reusable_) {
    // Close the idle connection well before the upstream does, so that no
    // request is sent while the upstream is closing it.
    timer_.Start(std::chrono::milliseconds(keep_alive_time_) * 4 / 5);
  }
  if (pooled_call* call = std::exchange(call_, nullptr)) {
    call->End(result, cause);
  }
}

}  // namespace cuminswitch
