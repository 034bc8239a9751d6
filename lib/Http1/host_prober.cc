#include "host_prober.h"

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Net/socket_address.h"

namespace cuminswitch {

/// A lost SYN is only retransmitted after a second, so a second connection is
/// tried instead.
static constexpr int kMaxAttempts = 2;
static constexpr std::chrono::milliseconds kAttemptTimeout{350};
/// How long a verdict counts. For connections that stay silent that time
/// doubles with each success, since each probe takes a place in the accept
/// queue of a stopped process, and a full queue looks like a lost host.
static constexpr std::chrono::milliseconds kMinLifetime{700};
static constexpr std::chrono::milliseconds kMaxLifetime{5'600};

/// A probe of one address.
class host_prober::probe {
 public:
  probe(event_base* base,
        const endpoint& to,
        std::chrono::milliseconds lifetime)
      : base_(base),
        to_(to),
        lifetime_(lifetime),
        timer_(base, [this] { OnAttemptFailed(); }) {
    Connect();
  }
  probe(const probe&) = delete;
  probe& operator=(const probe&) = delete;
  ~probe() { Disconnect(); }

  time_point started() const { return started_; }
  verdict result() const { return result_; }
  std::chrono::milliseconds lifetime() const { return lifetime_; }
  /// Whether it still counts for a connection silent since \p silent_since.
  bool IsCurrent(time_point now, time_point silent_since) const;

 private:
  void Connect();
  void Disconnect();
  void OnConnectEnded();
  void OnAttemptFailed();
  void End(verdict result);

  event_base* base_;
  endpoint to_;
  std::chrono::milliseconds lifetime_;
  loop_timer timer_;
  int fd_ = -1;
  event* connected_ = nullptr;
  int attempts_ = 0;
  time_point started_ = std::chrono::steady_clock::now();
  verdict result_ = verdict::kUnknown;
};

void host_prober::probe::Connect() {
  ++attempts_;
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) {
    // A shortage of this process says nothing about the host.
    End(verdict::kLives);
    return;
  }
  timer_.Start(kAttemptTimeout);
  const sockaddr_in address = ToSocketAddress(to_);
  // An immediate failure leaves the attempt to the timer.
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    return;
  }
  const auto on_ready = [](evutil_socket_t /*fd*/, short /*what*/, void* raw) {
    static_cast<probe*>(raw)->OnConnectEnded();
  };
  connected_ = event_new(base_, fd_, EV_WRITE, on_ready, this);
  event_add(connected_, nullptr);
}

void host_prober::probe::Disconnect() {
  if (connected_ != nullptr) {
    event_free(connected_);
    connected_ = nullptr;
  }
  if (fd_ >= 0) {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(fd_);
    fd_ = -1;
  }
}

void host_prober::probe::OnConnectEnded() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
  // A refusal comes from the host too. Other errors leave the attempt to the
  // timer.
  if (error == 0 || error == ECONNREFUSED) {
    End(verdict::kLives);
  }
}

void host_prober::probe::OnAttemptFailed() {
  if (attempts_ == kMaxAttempts) {
    End(verdict::kLost);
    return;
  }
  Disconnect();
  Connect();
}

void host_prober::probe::End(verdict result) {
  result_ = result;
  timer_.Cancel();
  Disconnect();
}

bool host_prober::probe::IsCurrent(time_point now,
                                   time_point silent_since) const {
  const auto age = now - started_;
  const bool covers_silence = started_ >= silent_since;
  switch (result_) {
    case verdict::kUnknown:
      return true;
    case verdict::kLives:
      return age < (covers_silence ? lifetime_ : kMinLifetime);
    case verdict::kLost:
      return covers_silence &&
             age < kMaxAttempts * kAttemptTimeout + kMinLifetime;
  }
  return false;
}

host_prober::host_prober(event_base* base) : base_(base) {}

host_prober::~host_prober() = default;

host_prober::verdict host_prober::Ask(const endpoint& to,
                                      time_point silent_since) {
  const time_point now = std::chrono::steady_clock::now();
  Trim(now);
  std::unique_ptr<probe>& latest = probes_[to];
  if (latest == nullptr) {
    latest = std::make_unique<probe>(base_, to, kMinLifetime);
  } else if (!latest->IsCurrent(now, silent_since)) {
    const bool stays_silent = latest->result() == verdict::kLives &&
                              latest->started() >= silent_since;
    latest = std::make_unique<probe>(
        base_, to,
        stays_silent ? std::min(2 * latest->lifetime(), kMaxLifetime)
                     : kMinLifetime);
  }
  return latest->result();
}

void host_prober::Trim(time_point now) {
  std::erase_if(probes_, [now](const auto& item) {
    return now - item.second->started() >= 2 * kMaxLifetime;
  });
}

}  // namespace cuminswitch
