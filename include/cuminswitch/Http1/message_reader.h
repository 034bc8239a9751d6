/// \file
/// Strict HTTP/1.1 parser, based on http_parser.
#ifndef CUMINSWITCH_HTTP1_MESSAGE_READER_H_
#define CUMINSWITCH_HTTP1_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cuminswitch/Http1/message_head.h"

namespace cuminswitch {

/// Receives the parts of a message as they are parsed.
class message_sink {
 public:
  virtual ~message_sink() = default;
  virtual void OnHead(message_head head) = 0;
  virtual void OnBody(std::string_view data) = 0;
};

/// Result of parsing a piece of the stream.
enum class read_result : uint8_t {
  kNeedMore,
  /// One message is complete; unconsumed bytes belong to the next one.
  kMessageDone,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

/// Parses consecutive messages from a byte stream.
///
/// http_parser accepts input that other implementations may interpret
/// differently: bare line feeds, folded fields, several lengths. Accepting it
/// allows request smuggling, so the complete head is validated before it is
/// passed to http_parser.
class message_reader {
 public:
  enum class kind : uint8_t { kRequest, kResponse };
  struct options {
    kind reads = kind::kRequest;
    size_t max_head_size = 16UL << 10;
    size_t max_body_size = 4UL << 20;
  };

  message_reader(const options& opts, message_sink& sink);
  message_reader(const message_reader&) = delete;
  message_reader& operator=(const message_reader&) = delete;
  ~message_reader();

  void SetLimits(size_t max_head_size, size_t max_body_size);
  /// The next response has no body, since its request was a HEAD.
  void ExpectNoBody() { no_body_ = true; }
  /// Parses \p data up to the end of a message and sets \p consumed to the
  /// number of bytes parsed.
  read_result Read(std::string_view data, size_t& consumed);
  /// The sender closed its side of the connection in an orderly way. Returns
  /// `kMessageDone` when that ended a response without a length.
  read_result ReadEnd();
  /// Whether a message is partially read.
  bool IsInMessage() const { return !head_text_.empty() || in_body_; }
  bool IsInBody() const { return in_body_; }

 private:
  struct parser;
  struct callbacks;

  /// Collects the bytes of a head; `kMessageDone` means that it is complete and
  /// well formed.
  read_result ReadHead(std::string_view data, size_t& consumed);
  read_result ParseHead();
  read_result Execute(std::string_view data, size_t& consumed);
  /// Whether the response announces a body that its status does not allow.
  bool HasForbiddenBody() const;
  /// Skips an interim response, whose head has \p size bytes; the final one
  /// follows.
  read_result SkipInterim(size_t size);
  void FillHead();
  bool HasBareLineFeed(size_t from) const;
  void Reset();

  options options_;
  message_sink& sink_;
  std::unique_ptr<parser> parser_;
  std::string head_text_;
  message_head head_;
  uint64_t body_size_ = 0;
  /// Bytes of the interim responses before the current head.
  size_t skipped_size_ = 0;
  bool in_body_ = false;
  bool no_body_ = false;
  /// Whether the next piece of a field name begins a new field.
  bool name_is_whole_ = true;
  bool is_done_ = false;
  bool is_too_large_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_MESSAGE_READER_H_
