/// \file
/// Frames over TCP between daemons.
#ifndef CUMINSWITCH_NET_PEER_TRANSPORT_H_
#define CUMINSWITCH_NET_PEER_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>

#include "cuminswitch/Support/endpoint.h"

struct event_base;
struct evconnlistener;

namespace cuminswitch {

/// Takes frames, in the loop's thread.
class peer_frame_handler {
 public:
  virtual ~peer_frame_handler() = default;
  /// Returns false when the frame is not acceptable; its connection closes.
  virtual bool OnFrame(std::span<const uint8_t> frame) = 0;
};

/// Sends each frame over a kept connection to its receiver, and receives from
/// anybody. A frame may be lost; whoever needs an answer asks again.
class peer_transport {
 public:
  struct options {
    /// Port 0 takes a free one.
    endpoint listen;
    /// A longer frame closes its connection.
    size_t max_frame_size = 64UL << 20;
    /// More unsent bytes than this to one receiver are dropped.
    size_t max_pending = 8UL << 20;
    /// Connections without traffic for this long close.
    std::chrono::seconds idle_timeout{30};
  };

  /// Throws `bind_error`.
  peer_transport(event_base* base,
                 const options& opts,
                 peer_frame_handler& handler);
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;
  ~peer_transport();

  void Send(const endpoint& to, std::string_view frame);
  endpoint Address() const;
  uint64_t bytes_sent() const { return bytes_sent_; }
  uint64_t bytes_received() const { return bytes_received_; }

 private:
  class connection;
  friend class connection;

  void Accept(int fd);
  void Drop(connection* item);

  event_base* base_;
  options options_;
  peer_frame_handler& handler_;
  evconnlistener* listener_ = nullptr;
  std::map<endpoint, std::unique_ptr<connection>> outgoing_;
  std::map<connection*, std::unique_ptr<connection>> incoming_;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_PEER_TRANSPORT_H_
