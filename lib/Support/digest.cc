#include "cuminswitch/Support/digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace cuminswitch {

std::string Sha256Hex(std::string_view data) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest.data());
  std::string text;
  text.reserve(kSha256HexLength);
  for (const unsigned char byte : digest) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0x0f]);
  }
  return text;
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace cuminswitch
