#include "cuminswitch/Edge/response_buffer.h"

#include <limits>
#include <utility>

#include "cuminswitch/Net/byte_account.h"

namespace cuminswitch {

/// A response may occupy the limit of the account divided by this.
static constexpr size_t kShareDivisor = 4;
/// Responses up to this size are buffered although the account is full.
static constexpr size_t kMaxSmallResponse = 64UL << 10;
/// A large buffer may have this many times the memory that it needs.
static constexpr size_t kMaxSlack = 4;

response_buffer::response_buffer(response_buffer&& other) noexcept
    : account_(other.account_), text_(std::exchange(other.text_, {})) {}

response_buffer& response_buffer::operator=(response_buffer&& other) noexcept {
  if (this != &other) {
    Clear();
    account_ = other.account_;
    text_ = std::exchange(other.text_, {});
  }
  return *this;
}

size_t response_buffer::MaxSize() const {
  return account_->limit() == 0 ? std::numeric_limits<size_t>::max()
                                : account_->limit() / kShareDivisor;
}

bool response_buffer::Append(std::string_view data) {
  const size_t size = text_.size() + data.size();
  if (size > MaxSize() || (size > kMaxSmallResponse && account_->IsFull())) {
    return false;
  }
  text_.append(data);
  account_->Add(data.size());
  return true;
}

void response_buffer::DropFront(size_t size) {
  text_.erase(0, size);
  account_->Remove(size);
  if (text_.capacity() > kMaxSmallResponse &&
      text_.size() < text_.capacity() / kMaxSlack) {
    text_.shrink_to_fit();
  }
}

}  // namespace cuminswitch
