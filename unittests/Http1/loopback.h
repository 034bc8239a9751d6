/// \file
/// Raw loopback sockets for HTTP tests.
#ifndef CUMINSWITCH_UNITTESTS_HTTP1_LOOPBACK_H_
#define CUMINSWITCH_UNITTESTS_HTTP1_LOOPBACK_H_

#include <event2/event.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <string>

#include "cuminswitch/Net/socket_address.h"

namespace cuminswitch {

/// Runs the event loop until \p is_done holds; returns false after 5000 waits
/// of a millisecond.
inline bool RunUntil(event_base* base, const std::function<bool()>& is_done) {
  constexpr int kMaxRounds = 5000;
  for (int i = 0; i < kMaxRounds; ++i) {
    if (is_done()) {
      return true;
    }
    const timeval wait{.tv_sec = 0, .tv_usec = 1000};
    event_base_loopexit(base, &wait);
    event_base_dispatch(base);
  }
  return false;
}

/// See `raw_socket::DropPackets`.
inline void DropPacketsAt(int fd) {
  sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{.len = 1, .filter = &drop};
  setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

/// A non-blocking socket that sends and receives raw bytes.
class raw_socket {
 public:
  explicit raw_socket(int fd) : fd_(fd) {
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
  }
  raw_socket(const raw_socket&) = delete;
  raw_socket& operator=(const raw_socket&) = delete;
  ~raw_socket() { Close(); }

  /// A \p receive_buffer other than zero bounds what the kernel holds for a
  /// reader that falls behind.
  static int Connect(const endpoint& to, int receive_buffer = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    }
    const sockaddr_in address = ToSocketAddress(to);
    static_cast<void>(connect(fd, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)));
    return fd;
  }

  /// Returns how many bytes the kernel accepts.
  size_t Send(const std::string& data) {
    const ssize_t size = send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    return size < 0 ? 0 : static_cast<size_t>(size);
  }
  /// Appends available bytes to `received`, and records the end of the
  /// connection.
  void Poll() {
    char buffer[65536];
    ssize_t size = 0;
    while ((size = recv(fd_, buffer, sizeof(buffer), 0)) > 0) {
      received.append(buffer, static_cast<size_t>(size));
    }
    ended = ended || size == 0 || (size < 0 && errno != EAGAIN);
    was_reset = was_reset || (size < 0 && errno == ECONNRESET);
  }
  /// Like `Poll`, but reads \p limit bytes at most.
  void PollSome(size_t limit) {
    std::string buffer(limit, 0);
    const ssize_t size = recv(fd_, buffer.data(), buffer.size(), 0);
    if (size > 0) {
      received.append(buffer, 0, static_cast<size_t>(size));
    }
    ended = ended || size == 0 || (size < 0 && errno != EAGAIN);
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  /// Bytes that have arrived and were not read.
  size_t Available() const {
    int size = 0;
    ioctl(fd_, FIONREAD, &size);
    return static_cast<size_t>(size);
  }
  /// From now on the kernel drops what arrives, without an acknowledgement, as
  /// if the host had lost power.
  void DropPackets() { DropPacketsAt(fd_); }
  /// Makes the kernel buffer little of what the peer does not read.
  void LimitSendBuffer() {
    const int size = 64 << 10;
    setsockopt(fd_, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
  }
  /// Closes the sending side in an orderly way.
  void CloseSending() { shutdown(fd_, SHUT_WR); }
  /// Closes the connection with a reset.
  void Reset() {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }

  std::string received;
  bool ended = false;
  bool was_reset = false;

 private:
  int fd_;
};

/// Listens on a free port and returns accepted connections.
class raw_listener {
 public:
  raw_listener() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    constexpr int kBacklog = 8;
    const sockaddr_in any = ToSocketAddress({"127.0.0.1", 0});
    static_cast<void>(
        bind(fd_, reinterpret_cast<const sockaddr*>(&any), sizeof(any)));
    listen(fd_, kBacklog);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  raw_listener(const raw_listener&) = delete;
  raw_listener& operator=(const raw_listener&) = delete;
  ~raw_listener() { Close(); }

  endpoint Address() const {
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size);
    return {.address = "127.0.0.1", .port = ntohs(bound.sin_port)};
  }
  /// From now on the host accepts no connections, as if it had lost power.
  void DropPackets() { DropPacketsAt(fd_); }
  /// Runs the event loop until a connection is accepted; null after the
  /// time-out of `RunUntil`.
  std::unique_ptr<raw_socket> Accept(event_base* base) {
    std::unique_ptr<raw_socket> accepted;
    RunUntil(base, [&] {
      const int fd = accept(fd_, nullptr, nullptr);
      if (fd >= 0) {
        accepted = std::make_unique<raw_socket>(fd);
      }
      return fd >= 0;
    });
    return accepted;
  }
  /// Accepts the connections that wait, closes them, and returns how many.
  int CountWaiting() {
    int count = 0;
    for (int fd = 0; (fd = accept(fd_, nullptr, nullptr)) >= 0; ++count) {
      close(fd);
    }
    return count;
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

 private:
  int fd_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UNITTESTS_HTTP1_LOOPBACK_H_
