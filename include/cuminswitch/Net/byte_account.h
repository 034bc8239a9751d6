/// \file
/// Accounting of the bytes buffered for connections.
#ifndef CUMINSWITCH_NET_BYTE_ACCOUNT_H_
#define CUMINSWITCH_NET_BYTE_ACCOUNT_H_

#include <cstddef>

namespace cuminswitch {

/// Counts bytes that were read and not yet forwarded, or written and not yet
/// sent. Callers and upstreams may read slowly, and buffered bytes occupy the
/// host's memory.
class byte_account {
 public:
  /// \p limit is in bytes; 0 means no limit.
  explicit byte_account(size_t limit = 0) : limit_(limit) {}

  void Add(size_t bytes) { held_ += bytes; }
  void Remove(size_t bytes) { held_ -= bytes; }
  size_t held() const { return held_; }
  size_t limit() const { return limit_; }
  /// Whether large requests must be refused.
  bool IsFull() const { return limit_ != 0 && held_ >= limit_; }
  /// Whether all requests must be refused. Small requests have a reserve above
  /// the limit, so that slow senders of large ones do not displace them.
  bool IsOver() const {
    return limit_ != 0 && held_ >= limit_ + limit_ / kSmallBodyReserveDivisor;
  }
  /// Whether more than half of the limit is used, so that responses must be
  /// read from upstreams only as fast as callers receive them.
  bool IsTight() const { return limit_ != 0 && held_ >= limit_ / 2; }

 private:
  /// The reserve for small requests is the limit divided by this.
  static constexpr size_t kSmallBodyReserveDivisor = 4;

  size_t limit_;
  size_t held_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_BYTE_ACCOUNT_H_
