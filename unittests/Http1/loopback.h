/// \file
/// Plain sockets on loopback for the tests of HTTP.
#ifndef CUMINSWITCH_UNITTESTS_HTTP1_LOOPBACK_H_
#define CUMINSWITCH_UNITTESTS_HTTP1_LOOPBACK_H_

#include <event2/event.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>

#include "cuminswitch/Net/socket_address.h"

namespace cuminswitch {

/// Runs the loop until \p is_done holds, at most some seconds.
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

/// A socket that sends and reads raw bytes without waiting.
class raw_socket {
 public:
  explicit raw_socket(int fd) : fd_(fd) {
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
  }
  raw_socket(const raw_socket&) = delete;
  raw_socket& operator=(const raw_socket&) = delete;
  ~raw_socket() { Close(); }

  static int Connect(const endpoint& to) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = ToSocketAddress(to);
    static_cast<void>(connect(fd, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)));
    return fd;
  }

  void Send(const std::string& data) {
    static_cast<void>(send(fd_, data.data(), data.size(), MSG_NOSIGNAL));
  }
  /// Reads what is there into `received`, and notes the end.
  void Poll() {
    char buffer[65536];
    ssize_t size = 0;
    while ((size = recv(fd_, buffer, sizeof(buffer), 0)) > 0) {
      received.append(buffer, static_cast<size_t>(size));
    }
    ended = ended || size == 0 || (size < 0 && errno != EAGAIN);
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  /// Ends the connection with a reset.
  void Reset() {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }

  std::string received;
  bool ended = false;

 private:
  int fd_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UNITTESTS_HTTP1_LOOPBACK_H_
