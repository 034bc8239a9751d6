/// \file
/// Exchange of length-prefixed frames between daemons over TCP.
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

/// Receives frames, on the event loop's thread.
class peer_frame_handler {
 public:
  virtual ~peer_frame_handler() = default;
  /// Returns false to reject the frame, which closes its connection.
  virtual bool OnFrame(std::span<const uint8_t> frame) = 0;
};

/// Sends frames over one persistent connection per receiver, and accepts
/// connections from any sender. Frames may be lost; a sender that needs a reply
/// must repeat its request.
class peer_transport {
 public:
  struct options {
    /// Port 0 selects a free port.
    endpoint listen;
    /// In bytes; receiving a longer frame closes the connection.
    size_t max_frame_size = 64UL << 20;
    /// Frames to a receiver with more unsent bytes than this are dropped.
    size_t max_pending = 8UL << 20;
    /// Connections without traffic for this long are closed.
    std::chrono::seconds idle_timeout{30};
  };

  /// Throws `bind_error` when the address cannot be bound.
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
