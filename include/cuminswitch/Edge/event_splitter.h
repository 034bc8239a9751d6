/// \file
/// Splits a stream into complete events.
#ifndef CUMINSWITCH_EDGE_EVENT_SPLITTER_H_
#define CUMINSWITCH_EDGE_EVENT_SPLITTER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cuminswitch/Edge/response_buffer.h"

namespace cuminswitch {

class byte_account;

/// Buffers an event until it is complete. If an upstream fails in the middle of
/// one, the buffered part is dropped and another upstream can resume the stream
/// after the last complete event.
class event_splitter {
 public:
  /// The buffered bytes are counted in \p account, which must outlive this
  /// object.
  explicit event_splitter(byte_account& account) : buffer_(account) {}

  /// Appends bytes and returns the events that are now complete, unchanged. The
  /// returned text is valid until the next call. Returns nothing if the
  /// incomplete event is too large for a `response_buffer`.
  std::optional<std::string_view> Add(std::string_view data);
  /// Drops a buffered incomplete event.
  void DropPartial();
  /// Returns the bytes left when the stream has ended normally.
  std::string_view TakeRemainder();
  /// Bytes received of an event that is not complete; 0 if only comments and
  /// blank lines follow the last event.
  size_t UnfinishedSize() const;
  /// The identifier of the last complete event that had one.
  const std::optional<std::string>& last_id() const { return last_id_; }

 private:
  /// Drops the bytes that the last call returned.
  void DropReturned();
  /// Returns the length of the complete events at the front of the buffer.
  size_t CompleteEventsLength();
  void ParseIds(std::string_view events);

  response_buffer buffer_;
  /// Length in bytes of the front of the buffer that the last call returned.
  size_t returned_ = 0;
  /// Offset of the first line that has not been read to its end, and the offset
  /// in it up to which no end was found. An event may come in many pieces.
  size_t line_ = 0;
  size_t searched_ = 0;
  std::optional<std::string> last_id_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_EVENT_SPLITTER_H_
