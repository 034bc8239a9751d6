/// \file
/// Counts the bytes in a stream's buffers.
#ifndef CUMINSWITCH_NET_COUNTED_STREAM_H_
#define CUMINSWITCH_NET_COUNTED_STREAM_H_

#include "cuminswitch/Net/byte_account.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace cuminswitch {

/// Adds the bytes in the input and output buffers of one stream to an account
/// during its lifetime. It must be destroyed before the stream.
class counted_stream {
 public:
  counted_stream(bufferevent* stream, byte_account& account);
  counted_stream(const counted_stream&) = delete;
  counted_stream& operator=(const counted_stream&) = delete;
  ~counted_stream();

 private:
  static void OnChange(evbuffer* buffer,
                       const evbuffer_cb_info* info,
                       void* raw);

  bufferevent* stream_;
  byte_account& account_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_COUNTED_STREAM_H_
