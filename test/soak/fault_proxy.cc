#include "soak/fault_proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <functional>
#include <stdexcept>
#include <utility>

#include "cuminswitch/Http1/message_reader.h"
#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Net/socket_address.h"

namespace cuminswitch::soak {

/// Delay of `link_fault::kDelay`: longer than a round trip, shorter than any
/// time-out of the system.
static constexpr std::chrono::milliseconds kDelay{60};

/// A caller's connection and the matching connection to the target.
class fault_proxy::link : private message_sink {
 public:
  struct options {
    endpoint target;
    uint16_t caller_port = 0;
    bool removes_framing = false;
  };

  link(event_base* base,
       int fd,
       const options& opts,
       const link_fault& mode,
       std::function<void()> on_closed)
      : mode_(mode),
        caller_port_(opts.caller_port),
        removes_framing_(opts.removes_framing),
        reader_({.reads = message_reader::kind::kResponse}, *this),
        on_closed_(std::move(on_closed)),
        caller_(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE)),
        target_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
        timer_(base, [this] { ForwardBuffered(); }) {
    for (bufferevent* side : {caller_, target_}) {
      bufferevent_setcb(side, &link::OnRead, nullptr, &link::OnEvent, this);
      bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    const sockaddr_in address = ToSocketAddress(opts.target);
    bufferevent_socket_connect(
        target_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }
  link(const link&) = delete;
  link& operator=(const link&) = delete;
  ~link() override {
    bufferevent_free(caller_);
    bufferevent_free(target_);
  }

  bool is_closed() const { return is_closed_; }
  uint16_t caller_port() const { return caller_port_; }
  void BlockForever() { is_blocked_ = true; }
  void SetHanging(bool on) { is_hanging_ = on; }
  void Pump() {
    const bool is_blocked =
        is_blocked_ || is_hanging_ || mode_ == link_fault::kBlackhole;
    if (is_blocked || is_closed_) {
      return;
    }
    if (mode_ == link_fault::kDelay) {
      timer_.Start(kDelay);
      return;
    }
    ForwardBuffered();
  }
  void Reset() {
    const linger abort{.l_onoff = 1, .l_linger = 0};
    for (bufferevent* side : {caller_, target_}) {
      setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &abort,
                 sizeof(abort));
    }
    Close();
  }

 private:
  static void OnRead(bufferevent* /*side*/, void* self) {
    static_cast<link*>(self)->Pump();
  }
  static void OnEvent(bufferevent* side, short what, void* self) {
    auto& item = *static_cast<link*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      return;
    }
    // The other side gets the buffered bytes before the end of the connection.
    (side == item.caller_ ? item.caller_ended_ : item.target_ended_) = true;
    item.Pump();
  }
  void ForwardBuffered() {
    Move(caller_, target_);
    // Later bytes of a connection that lost some would corrupt its data.
    is_one_way_ = is_one_way_ || mode_ == link_fault::kOneWay;
    if (is_one_way_) {
      evbuffer* dropped = bufferevent_get_input(target_);
      evbuffer_drain(dropped, evbuffer_get_length(dropped));
    } else if (removes_framing_) {
      ForwardUnframed();
    } else {
      Move(target_, caller_);
    }
    const bool is_flushed =
        evbuffer_get_length(bufferevent_get_output(caller_)) == 0;
    if (caller_ended_ || (target_ended_ && is_flushed)) {
      Close();
    } else if (target_ended_) {
      timer_.Start(std::chrono::milliseconds(1));
    }
  }
  /// Forwards the response without its framing; its end becomes an orderly
  /// close. A stream whose connection is lost ends inside an event: after whole
  /// events nothing would show that it was truncated.
  void ForwardUnframed() {
    static constexpr std::string_view kPartialEvent = "id: ";
    evbuffer* input = bufferevent_get_input(target_);
    std::string data(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, data.data(), data.size());
    size_t consumed = 0;
    if (has_response_) {
      return;
    }
    has_response_ = reader_.Read(data, consumed) != read_result::kNeedMore;
    if (has_response_) {
      target_ended_ = true;
    } else if (target_ended_) {
      has_response_ = true;
      if (is_stream_) {
        bufferevent_write(caller_, kPartialEvent.data(), kPartialEvent.size());
      }
    }
  }
  void OnHead(message_head head) override {
    is_stream_ = head.is_chunked;
    std::string text =
        "HTTP/1.1 " + std::to_string(head.status) + " Status\r\n";
    for (const http_header& item : EndToEndHeaders(head)) {
      text.append(item.name).append(": ").append(item.value).append("\r\n");
    }
    text += "Connection: close\r\n\r\n";
    bufferevent_write(caller_, text.data(), text.size());
  }
  void OnBody(std::string_view data) override {
    bufferevent_write(caller_, data.data(), data.size());
  }
  void Close() {
    is_closed_ = true;
    on_closed_();
  }
  static void Move(bufferevent* from, bufferevent* to) {
    bufferevent_write_buffer(to, bufferevent_get_input(from));
  }

  const link_fault& mode_;
  uint16_t caller_port_;
  bool removes_framing_;
  message_reader reader_;
  std::function<void()> on_closed_;
  bufferevent* caller_;
  bufferevent* target_;
  loop_timer timer_;
  bool caller_ended_ = false;
  bool target_ended_ = false;
  bool is_blocked_ = false;
  bool is_hanging_ = false;
  bool is_one_way_ = false;
  bool is_closed_ = false;
  /// All that is left of the response has been forwarded without its framing.
  bool has_response_ = false;
  bool is_stream_ = false;
};

fault_proxy::fault_proxy(event_base* base, const endpoint& target)
    : base_(base), target_(target) {
  const sockaddr_in any = ToSocketAddress({.address = "127.0.0.1", .port = 0});
  listener_ = evconnlistener_new_bind(
      base,
      [](evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* /*peer*/,
         int /*size*/,
         void* self) { static_cast<fault_proxy*>(self)->Accept(fd); },
      this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<const sockaddr*>(&any),
      sizeof(any));
  if (listener_ == nullptr) {
    throw std::runtime_error("fault proxy cannot listen on 127.0.0.1");
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&bound), &size);
  address_ = {.address = "127.0.0.1", .port = ntohs(bound.sin_port)};
}

fault_proxy::~fault_proxy() {
  evconnlistener_free(listener_);
}

static uint16_t PeerPort(int fd) {
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size);
  return ntohs(peer.sin_port);
}

void fault_proxy::Accept(int fd) {
  links_.push_back(std::make_unique<link>(
      base_, fd,
      link::options{.target = target_,
                    .caller_port = PeerPort(fd),
                    .removes_framing = removes_framing_},
      fault_, [this] {
        // Deferred, since the link must not be deleted in its own callback.
        CallLater(base_, [this] {
          links_.remove_if([](const auto& item) { return item->is_closed(); });
        });
      }));
  if (!IsPartitioned(*links_.back())) {
    return;
  }
  if (partition_->kind == partition_kind::kHang) {
    links_.back()->SetHanging(true);
  } else {
    links_.back()->Reset();
  }
}

bool fault_proxy::IsPartitioned(const link& item) const {
  return partition_ != nullptr && !partition_->processes.empty() &&
         partition_->processes.contains(
             lookup_(item.caller_port(), address_.port));
}

void fault_proxy::SetPartition(const partition& cut) {
  partition_ = &cut;
  for (const auto& item : links_) {
    const bool is_cut = IsPartitioned(*item);
    item->SetHanging(is_cut && cut.kind == partition_kind::kHang);
    if (is_cut && cut.kind == partition_kind::kReset) {
      item->Reset();
    } else {
      item->Pump();
    }
  }
}

void fault_proxy::SetFault(link_fault fault) {
  if (fault == link_fault::kReset || fault == link_fault::kBlackholeOpen) {
    for (const auto& item : links_) {
      fault == link_fault::kReset ? item->Reset() : item->BlockForever();
    }
    fault = link_fault::kNone;
  }
  fault_ = fault;
  for (const auto& item : links_) {
    item->Pump();
  }
}

}  // namespace cuminswitch::soak
