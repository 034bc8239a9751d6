/// \file
/// Buffer for what an upstream has sent and its caller may not have yet.
#ifndef CUMINSWITCH_EDGE_RESPONSE_BUFFER_H_
#define CUMINSWITCH_EDGE_RESPONSE_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace cuminswitch {

class byte_account;

/// Bytes of one response, counted in an account. Bounded, since an upstream may
/// send without end.
class response_buffer {
 public:
  /// \p account must outlive this object.
  explicit response_buffer(byte_account& account) : account_(&account) {}
  response_buffer(response_buffer&& other) noexcept;
  response_buffer& operator=(response_buffer&& other) noexcept;
  ~response_buffer() { Clear(); }

  /// Appends \p data. Returns false, and appends nothing, if the response would
  /// occupy more than its share of the account's limit, or if it is large and
  /// the account is full.
  [[nodiscard]] bool Append(std::string_view data);
  void DropFront(size_t size);
  void Clear() { DropFront(text_.size()); }

  std::string_view text() const { return text_; }
  size_t size() const { return text_.size(); }

 private:
  size_t MaxSize() const;

  byte_account* account_;
  std::string text_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_RESPONSE_BUFFER_H_
