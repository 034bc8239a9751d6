#include "cuminswitch/Http1/caller_server.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <cerrno>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

#include "caller_connection.h"
#include "cuminswitch/Http1/caller_connection_end.h"
#include "cuminswitch/Net/bind_error.h"
#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Net/socket_address.h"

namespace cuminswitch {

/// Length of the queue of connections to accept. A full queue drops the SYN,
/// which the caller retransmits only after a second or more.
static constexpr int kBacklog = 1024;

caller_server::caller_server(event_base* base,
                             const endpoint& listen,
                             caller_handler& handler,
                             byte_account* account)
    : base_(base),
      handler_(handler),
      listen_(listen),
      account_(account == nullptr ? own_account_ : *account) {
  const sockaddr_in address = ToSocketAddress(listen);
  const auto on_accept = [](evconnlistener* /*listener*/, evutil_socket_t fd,
                            sockaddr* from, int /*size*/, void* raw) {
    static_cast<caller_server*>(raw)->Accept(fd, NumericAddress(*from));
  };
  listener_ = evconnlistener_new_bind(
      base, on_accept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
      kBacklog, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (listener_ == nullptr) {
    throw bind_error("cannot listen on " + listen.ToString() + ": " +
                     std::strerror(errno));
  }
}

caller_server::~caller_server() {
  *alive_ = false;
  if (listener_ != nullptr) {
    evconnlistener_free(listener_);
  }
}

void caller_server::Accept(int fd, std::string from) {
  ++accepted_;
  auto item = std::make_unique<caller_connection>(*this, fd, std::move(from));
  caller_connection* key = item.get();
  connections_[key] = std::move(item);
}

void caller_server::Drop(caller_connection* connection) {
  // The connection may be on the stack, so it is destroyed from the event loop.
  CallLater(base_, [this, alive = alive_, connection] {
    if (*alive) {
      connections_.erase(connection);
    }
  });
}

void caller_server::StopListening() {
  if (listener_ == nullptr) {
    return;
  }
  // Connections that the kernel has accepted would be reset.
  const int listening = evconnlistener_get_fd(listener_);
  sockaddr from{};
  socklen_t size = sizeof(from);
  for (int fd = 0; (fd = accept4(listening, &from, &size,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
    Accept(fd, NumericAddress(from));
    size = sizeof(from);
  }
  evconnlistener_free(std::exchange(listener_, nullptr));
}

void caller_server::CloseIdle() {
  std::vector<caller_connection*> all;
  for (const auto& [key, item] : connections_) {
    all.push_back(key);
  }
  for (caller_connection* item : all) {
    item->CloseIfIdle(caller_end_cause::kDraining);
  }
}

void caller_server::ReportOpen() {
  for (const auto& [key, item] : connections_) {
    key->ReportCut(caller_end_cause::kStopped);
  }
}

endpoint caller_server::Address() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&address), &size);
  return {.address = listen_.address, .port = ntohs(address.sin_port)};
}

}  // namespace cuminswitch
