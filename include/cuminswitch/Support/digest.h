/// \file
/// Cryptographic digests and constant-time comparison, backed by OpenSSL.
#ifndef CUMINSWITCH_SUPPORT_DIGEST_H_
#define CUMINSWITCH_SUPPORT_DIGEST_H_

#include <string>
#include <string_view>

namespace cuminswitch {

/// The length of a SHA-256 digest in hexadecimal digits.
inline constexpr size_t kSha256HexLength = 64;

/// Returns the SHA-256 digest of \p data in lower-case hexadecimal.
std::string Sha256Hex(std::string_view data);

/// Compares two secrets of equal length in a time that does not depend on where
/// they differ.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SUPPORT_DIGEST_H_
