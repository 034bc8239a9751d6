/// \file
/// What a daemon holds for both sides of its connections.
#ifndef CUMINSWITCH_NET_BYTE_ACCOUNT_H_
#define CUMINSWITCH_NET_BYTE_ACCOUNT_H_

#include <cstddef>

namespace cuminswitch {

/// Counts bytes that were read and not yet passed on, or not yet taken by the
/// other side. Callers and upstreams may read slowly, and all of it takes the
/// host's memory.
class byte_account {
 public:
  /// \p limit is in bytes; 0 for none.
  explicit byte_account(size_t limit = 0) : limit_(limit) {}

  void Add(size_t bytes) { held_ += bytes; }
  void Remove(size_t bytes) { held_ -= bytes; }
  size_t held() const { return held_; }
  size_t limit() const { return limit_; }
  /// Nothing large is to be taken in.
  bool IsFull() const { return limit_ != 0 && held_ >= limit_; }
  /// Nothing at all is to be taken in. What is small has some room of its own,
  /// so that those who send slowly take it from nobody else.
  bool IsOver() const {
    return limit_ != 0 && held_ >= limit_ + limit_ / kRoomForSmall;
  }
  /// What is on its way is to be read only as fast as it is taken.
  bool IsTight() const { return limit_ != 0 && held_ >= limit_ / 2; }

 private:
  static constexpr size_t kRoomForSmall = 4;

  size_t limit_;
  size_t held_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_BYTE_ACCOUNT_H_
