/// \file
/// Splits a stream into whole events.
#ifndef CUMINSWITCH_EDGE_EVENT_SPLITTER_H_
#define CUMINSWITCH_EDGE_EVENT_SPLITTER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cuminswitch {

/// Holds back what is not a whole event yet. An upstream may stop in the
/// middle of one; what was held back is then forgotten, and the stream can go
/// on elsewhere after the last whole event.
class event_splitter {
 public:
  /// Adds bytes and returns the events that are now whole, as they came. The
  /// text is valid until the next call.
  std::string_view Add(std::string_view data);
  /// Forgets a part of an event.
  void DropPartial();
  /// Returns the rest of the stream, which ended in good order.
  std::string_view TakeRest();
  /// The id of the last whole event.
  const std::optional<std::string>& last_id() const { return last_id_; }

 private:
  void ReadIds(std::string_view events);

  std::string buffer_;
  /// Bytes of the buffer that were returned by the last call.
  size_t taken_ = 0;
  std::optional<std::string> last_id_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_EVENT_SPLITTER_H_
