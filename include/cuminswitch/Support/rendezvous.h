/// \file
/// Rendezvous hashing: every daemon ranks the same candidates for a key in
/// the same order without talking to any other.
#ifndef CUMINSWITCH_SUPPORT_RENDEZVOUS_H_
#define CUMINSWITCH_SUPPORT_RENDEZVOUS_H_

#include <cstdint>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// The weight of candidate \p candidate for \p key; the greatest one wins.
constexpr uint64_t RendezvousWeight(uint64_t key, uint64_t candidate) {
  return CombineHash(key, candidate);
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SUPPORT_RENDEZVOUS_H_
