/// \file
/// Splits a stream into complete events.
#ifndef CUMINSWITCH_EDGE_EVENT_SPLITTER_H_
#define CUMINSWITCH_EDGE_EVENT_SPLITTER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cuminswitch {

/// Buffers an event until it is complete. If an upstream fails in the middle of
/// one, the buffered part is dropped and another upstream can resume the stream
/// after the last complete event.
class event_splitter {
 public:
  /// Appends bytes and returns the events that are now complete, unchanged. The
  /// returned text is valid until the next call.
  std::string_view Add(std::string_view data);
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
  void ParseIds(std::string_view events);

  std::string buffer_;
  /// Length in bytes of the front of the buffer that the last call returned.
  size_t returned_ = 0;
  std::optional<std::string> last_id_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_EVENT_SPLITTER_H_
