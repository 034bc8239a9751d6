/// \file
/// Rendezvous hashing: every daemon ranks the same candidates for a key in the
/// same order without communication.
#ifndef CUMINSWITCH_SUPPORT_RENDEZVOUS_H_
#define CUMINSWITCH_SUPPORT_RENDEZVOUS_H_

#include <cstdint>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Returns the weight of \p candidate for \p key; the greatest weight ranks
/// first.
constexpr uint64_t RendezvousWeight(uint64_t key, uint64_t candidate) {
  return CombineHash(key, candidate);
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SUPPORT_RENDEZVOUS_H_
