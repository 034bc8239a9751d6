#include "cuminswitch/Http1/message_reader.h"
#include "cuminswitch/Support/status_code.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

#include "head_check.h"

namespace cuminswitch {

static constexpr std::string_view kHeadEnd = "\r\n\r\n";
static constexpr uint32_t kFirstFinalStatus = 200;

struct message_reader::parser {
  http_parser state{};
};

/// Callbacks of http_parser, whose `data` points to the reader.
struct message_reader::callbacks {
  static message_reader& Of(http_parser* state) {
    return *static_cast<message_reader*>(state->data);
  }

  static int OnTarget(http_parser* state, const char* at, size_t size) {
    Of(state).head_.target.append(at, size);
    return 0;
  }

  static int OnFieldName(http_parser* state, const char* at, size_t size) {
    message_reader& self = Of(state);
    // Trailer fields are dropped: nothing uses them, and they must not be taken
    // for fields of the head.
    if (self.in_body_) {
      return 0;
    }
    http_headers& headers = self.head_.headers;
    if (headers.empty() || self.name_is_whole_) {
      headers.emplace_back();
      self.name_is_whole_ = false;
    }
    headers.back().name.append(at, size);
    return 0;
  }

  static int OnFieldValue(http_parser* state, const char* at, size_t size) {
    message_reader& self = Of(state);
    if (self.in_body_) {
      return 0;
    }
    self.name_is_whole_ = true;
    self.head_.headers.back().value.append(at, size);
    return 0;
  }

  static int OnHeadEnd(http_parser* state) {
    message_reader& self = Of(state);
    // Protocol upgrades are never accepted, so the bytes that follow are parsed
    // as HTTP even if the sender requests an upgrade.
    state->upgrade = 0;
    self.FillHead();
    // http_parser expects a body after 304 if there is a length.
    return self.no_body_ || state->status_code == status_code::kNotModified ? 1
                                                                            : 0;
  }

  static int OnBody(http_parser* state, const char* at, size_t size) {
    message_reader& self = Of(state);
    self.body_size_ += size;
    if (self.body_size_ > self.options_.max_body_size) {
      self.is_too_large_ = true;
      return 1;
    }
    self.sink_.OnBody({at, size});
    return 0;
  }

  static int OnMessageEnd(http_parser* state) {
    Of(state).is_done_ = true;
    // The bytes that follow belong to the next message.
    http_parser_pause(state, 1);
    return 0;
  }

  static http_parser_settings MakeSettings() {
    http_parser_settings settings{};
    settings.on_url = &OnTarget;
    settings.on_header_field = &OnFieldName;
    settings.on_header_value = &OnFieldValue;
    settings.on_headers_complete = &OnHeadEnd;
    settings.on_body = &OnBody;
    settings.on_message_complete = &OnMessageEnd;
    return settings;
  }
};

message_reader::message_reader(const options& opts, message_sink& sink)
    : options_(opts), sink_(sink), parser_(std::make_unique<parser>()) {
  Reset();
}

message_reader::~message_reader() = default;

void message_reader::SetLimits(size_t max_head_size, size_t max_body_size) {
  options_.max_head_size = max_head_size;
  options_.max_body_size = max_body_size;
}

void message_reader::Reset() {
  http_parser_init(&parser_->state, options_.reads == kind::kRequest
                                        ? HTTP_REQUEST
                                        : HTTP_RESPONSE);
  parser_->state.data = this;
  head_text_.clear();
  head_ = {};
  body_size_ = 0;
  skipped_size_ = 0;
  in_body_ = false;
  is_done_ = false;
  name_is_whole_ = true;
}

void message_reader::FillHead() {
  http_parser& state = parser_->state;
  if (options_.reads == kind::kRequest) {
    head_.method = http_method_str(static_cast<::http_method>(state.method));
  } else {
    head_.status = state.status_code;
  }
  head_.is_chunked = (state.flags & F_CHUNKED) != 0;
  if ((state.flags & F_CONTENTLENGTH) != 0) {
    head_.content_length = state.content_length;
  }
  head_.keep_alive = http_should_keep_alive(&state) != 0;
  head_.ends_with_connection = options_.reads == kind::kResponse && !no_body_ &&
                               !head_.is_chunked && !head_.content_length &&
                               head_.status != status_code::kNoContent &&
                               head_.status != status_code::kNotModified;
}

read_result message_reader::ReadHead(std::string_view data, size_t& consumed) {
  // The end may straddle two reads, so the search begins before the new bytes.
  const size_t old_size = head_text_.size();
  const size_t room =
      options_.max_head_size + 1 - std::min(options_.max_head_size, old_size);
  head_text_.append(data.substr(0, room));
  const size_t from =
      old_size < kHeadEnd.size() ? 0 : old_size - kHeadEnd.size();
  const size_t end = head_text_.find(kHeadEnd, from);
  if (end == std::string::npos) {
    consumed = head_text_.size() - old_size;
    if (head_text_.size() > options_.max_head_size) {
      return read_result::kHeadTooLarge;
    }
    return HasBareLineFeed(old_size) ? read_result::kMalformed
                                     : read_result::kNeedMore;
  }
  head_text_.resize(end + kHeadEnd.size());
  consumed = head_text_.size() - old_size;
  if (head_text_.size() > options_.max_head_size) {
    return read_result::kHeadTooLarge;
  }
  if (!IsStrictHead(head_text_, options_.reads == kind::kRequest)) {
    return read_result::kMalformed;
  }
  return read_result::kMessageDone;
}

bool message_reader::HasBareLineFeed(size_t from) const {
  for (size_t at = head_text_.find('\n', from); at != std::string::npos;
       at = head_text_.find('\n', at + 1)) {
    if (at == 0 || head_text_[at - 1] != '\r') {
      return true;
    }
  }
  return false;
}

read_result message_reader::Execute(std::string_view data, size_t& consumed) {
  static const http_parser_settings settings = callbacks::MakeSettings();
  http_parser& state = parser_->state;
  consumed = http_parser_execute(&state, &settings, data.data(), data.size());
  if (is_too_large_) {
    return read_result::kBodyTooLarge;
  }
  if (is_done_) {
    return read_result::kMessageDone;
  }
  return HTTP_PARSER_ERRNO(&state) == HPE_OK ? read_result::kNeedMore
                                             : read_result::kMalformed;
}

read_result message_reader::ParseHead() {
  const bool is_request = options_.reads == kind::kRequest;
  const std::string text = std::exchange(head_text_, {});
  size_t parsed = 0;
  const read_result result = Execute(text, parsed);
  if (result == read_result::kMalformed) {
    return result;
  }
  if (!is_request && HasForbiddenBody()) {
    return read_result::kMalformed;
  }
  if (!is_request && head_.status < kFirstFinalStatus) {
    return SkipInterim(text.size());
  }
  if (head_.content_length.value_or(0) > options_.max_body_size) {
    return read_result::kBodyTooLarge;
  }
  in_body_ = true;
  no_body_ = false;
  sink_.OnHead(std::move(head_));
  if (result == read_result::kMessageDone) {
    Reset();
  }
  return result;
}

bool message_reader::HasForbiddenBody() const {
  // Whoever reads such a response without its body takes the body for the next
  // response.
  const bool is_bodiless = head_.status < kFirstFinalStatus ||
                           head_.status == status_code::kNoContent;
  return is_bodiless &&
         (head_.is_chunked || head_.content_length.value_or(0) > 0);
}

read_result message_reader::SkipInterim(size_t size) {
  // No request asks for another protocol.
  if (head_.status == status_code::kSwitchingProtocols) {
    return read_result::kMalformed;
  }
  const size_t skipped = skipped_size_ + size;
  Reset();
  skipped_size_ = skipped;
  return skipped > options_.max_head_size ? read_result::kHeadTooLarge
                                          : read_result::kNeedMore;
}

read_result message_reader::Read(std::string_view data, size_t& consumed) {
  consumed = 0;
  while (consumed < data.size()) {
    const std::string_view rest = data.substr(consumed);
    size_t taken = 0;
    read_result result = read_result::kNeedMore;
    if (in_body_) {
      result = Execute(rest, taken);
      if (result == read_result::kMessageDone) {
        Reset();
      }
    } else {
      result = ReadHead(rest, taken);
      if (result == read_result::kMessageDone) {
        result = ParseHead();
      }
    }
    consumed += taken;
    if (result != read_result::kNeedMore) {
      return result;
    }
  }
  return read_result::kNeedMore;
}

read_result message_reader::ReadEnd() {
  if (!in_body_) {
    return read_result::kMalformed;
  }
  size_t consumed = 0;
  const read_result result = Execute({}, consumed);
  if (result == read_result::kMessageDone) {
    Reset();
  }
  return result;
}

}  // namespace cuminswitch
