/// \file
/// Reads HTTP/1.1 messages strictly, backed by http_parser.
#ifndef CUMINSWITCH_HTTP1_MESSAGE_READER_H_
#define CUMINSWITCH_HTTP1_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cuminswitch/Http1/message_head.h"

namespace cuminswitch {

/// Takes a message's parts as they are read.
class message_sink {
 public:
  virtual ~message_sink() = default;
  virtual void OnHead(message_head head) = 0;
  virtual void OnBody(std::string_view data) = 0;
};

/// What reading came to.
enum class read_result : uint8_t {
  kNeedMore,
  /// One message is whole; what was not consumed belongs to the next one.
  kMessageDone,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

/// Reads one message after another from a byte stream.
///
/// The library's parser forgives what two implementations may read in two
/// ways: bare line feeds, folded fields, several lengths. Forgiving them lets
/// a caller hide one request inside another, so a head is checked in full
/// before the parser sees it.
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
  /// The next answer has no body, since its request was a HEAD.
  void ExpectNoBody() { no_body_ = true; }
  /// Reads from \p data and sets \p consumed to the bytes taken.
  read_result Read(std::string_view data, size_t& consumed);
  /// The sender closed its side in good order. Returns `kMessageDone` when
  /// that was the end of an answer without length.
  read_result ReadEnd();
  /// Whether some of a message, but not all, was read.
  bool IsInMessage() const { return !head_text_.empty() || in_body_; }
  bool IsInBody() const { return in_body_; }

 private:
  struct parser;
  struct callbacks;

  /// Gathers a head; `kMessageDone` says that it is whole and well formed.
  read_result ReadHead(std::string_view data, size_t& consumed);
  read_result ParseHead();
  read_result Execute(std::string_view data, size_t& consumed);
  void FillHead();
  bool HasBareLineFeed(size_t from) const;
  void Reset();

  options options_;
  message_sink& sink_;
  std::unique_ptr<parser> parser_;
  std::string head_text_;
  message_head head_;
  uint64_t body_size_ = 0;
  bool in_body_ = false;
  bool no_body_ = false;
  /// The next field name begins a new field.
  bool name_is_whole_ = true;
  bool is_done_ = false;
  bool is_too_large_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_MESSAGE_READER_H_
