#include "cuminswitch/Net/counted_stream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <initializer_list>

namespace cuminswitch {

counted_stream::counted_stream(bufferevent* stream, byte_account& account)
    : stream_(stream), account_(account) {
  evbuffer_add_cb(bufferevent_get_input(stream_), &OnChange, &account_);
  evbuffer_add_cb(bufferevent_get_output(stream_), &OnChange, &account_);
}

counted_stream::~counted_stream() {
  for (evbuffer* buffer :
       {bufferevent_get_input(stream_), bufferevent_get_output(stream_)}) {
    evbuffer_remove_cb(buffer, &OnChange, &account_);
    account_.Remove(evbuffer_get_length(buffer));
  }
}

void counted_stream::OnChange(evbuffer* /*buffer*/,
                              const evbuffer_cb_info* info,
                              void* raw) {
  auto& account = *static_cast<byte_account*>(raw);
  account.Add(info->n_added);
  account.Remove(info->n_deleted);
}

}  // namespace cuminswitch
