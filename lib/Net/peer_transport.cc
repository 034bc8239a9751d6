#include "cuminswitch/Net/peer_transport.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <string>
#include <vector>

#include "cuminswitch/Net/bind_error.h"
#include "cuminswitch/Net/socket_address.h"

namespace cuminswitch {

/// The big-endian length, in bytes, that precedes each frame.
using frame_header = std::array<uint8_t, 4>;

static uint32_t ReadLength(const frame_header& header) {
  return (uint32_t{header[0]} << 24) | (uint32_t{header[1]} << 16) |
         (uint32_t{header[2]} << 8) | uint32_t{header[3]};
}

static frame_header WriteLength(size_t length) {
  return {static_cast<uint8_t>(length >> 24),
          static_cast<uint8_t>(length >> 16), static_cast<uint8_t>(length >> 8),
          static_cast<uint8_t>(length)};
}

/// One TCP connection, outgoing or incoming.
class peer_transport::connection {
 public:
  connection(peer_transport& owner, int fd) : owner_(owner) {
    stream_ = bufferevent_socket_new(owner.base_, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(stream_, &OnReadable, nullptr, &OnEvent, this);
    const timeval timeout{.tv_sec = owner.options_.idle_timeout.count()};
    bufferevent_set_timeouts(stream_, &timeout, &timeout);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { bufferevent_free(stream_); }

  bool Connect(const endpoint& to) {
    const sockaddr_in address = ToSocketAddress(to);
    const int result = bufferevent_socket_connect(
        stream_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (result == 0) {
      const int on = 1;
      setsockopt(bufferevent_getfd(stream_), IPPROTO_TCP, TCP_NODELAY, &on,
                 sizeof(on));
    }
    return result == 0;
  }

  void Send(std::string_view frame) {
    evbuffer* output = bufferevent_get_output(stream_);
    if (evbuffer_get_length(output) > owner_.options_.max_pending) {
      return;
    }
    const frame_header header = WriteLength(frame.size());
    evbuffer_add(output, header.data(), header.size());
    evbuffer_add(output, frame.data(), frame.size());
    owner_.bytes_sent_ += header.size() + frame.size();
  }

 private:
  static void OnReadable(bufferevent* /*stream*/, void* raw) {
    auto* self = static_cast<connection*>(raw);
    if (!self->ReadFrames()) {
      self->owner_.Drop(self);
    }
  }

  static void OnEvent(bufferevent* /*stream*/, short what, void* raw) {
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      return;
    }
    auto* self = static_cast<connection*>(raw);
    self->owner_.Drop(self);
  }

  /// Passes complete frames to the handler. Returns false when the connection
  /// must be closed.
  bool ReadFrames() {
    evbuffer* input = bufferevent_get_input(stream_);
    frame_header header;
    while (evbuffer_copyout(input, header.data(), header.size()) ==
           static_cast<ssize_t>(header.size())) {
      const uint32_t length = ReadLength(header);
      if (length > owner_.options_.max_frame_size) {
        return false;
      }
      if (evbuffer_get_length(input) < header.size() + length) {
        return true;
      }
      evbuffer_drain(input, header.size());
      std::vector<uint8_t> frame(length);
      evbuffer_remove(input, frame.data(), frame.size());
      owner_.bytes_received_ += header.size() + length;
      if (!owner_.handler_.OnFrame(frame)) {
        return false;
      }
    }
    return true;
  }

  peer_transport& owner_;
  bufferevent* stream_ = nullptr;
};

peer_transport::peer_transport(event_base* base,
                               const options& opts,
                               peer_frame_handler& handler)
    : base_(base), options_(opts), handler_(handler) {
  const sockaddr_in address = ToSocketAddress(opts.listen);
  const auto on_accept = [](evconnlistener* /*listener*/, evutil_socket_t fd,
                            sockaddr* /*from*/, int /*size*/, void* raw) {
    static_cast<peer_transport*>(raw)->Accept(fd);
  };
  listener_ = evconnlistener_new_bind(
      base, on_accept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (listener_ == nullptr) {
    throw bind_error("cannot listen on " + opts.listen.ToString() + ": " +
                     std::strerror(errno));
  }
}

peer_transport::~peer_transport() {
  evconnlistener_free(listener_);
}

void peer_transport::Accept(int fd) {
  auto item = std::make_unique<connection>(*this, fd);
  connection* key = item.get();
  incoming_[key] = std::move(item);
}

void peer_transport::Drop(connection* item) {
  if (incoming_.erase(item) != 0) {
    return;
  }
  std::erase_if(outgoing_,
                [item](const auto& pair) { return pair.second.get() == item; });
}

void peer_transport::Send(const endpoint& to, std::string_view frame) {
  auto found = outgoing_.find(to);
  if (found == outgoing_.end()) {
    auto item = std::make_unique<connection>(*this, -1);
    if (!item->Connect(to)) {
      return;
    }
    found = outgoing_.emplace(to, std::move(item)).first;
  }
  found->second->Send(frame);
}

endpoint peer_transport::Address() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&address), &size);
  return {.address = options_.listen.address, .port = ntohs(address.sin_port)};
}

}  // namespace cuminswitch
