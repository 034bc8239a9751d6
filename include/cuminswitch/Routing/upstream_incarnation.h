/// \file
/// The identity of an upstream's cache contents.
#ifndef CUMINSWITCH_ROUTING_UPSTREAM_INCARNATION_H_
#define CUMINSWITCH_ROUTING_UPSTREAM_INCARNATION_H_

#include <cstdint>
#include <span>

#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Returns the incarnation of an upstream that was started at \p started and
/// has loaded \p models. New weights discard the cached prefixes, as a restart
/// does. It has the 32 bits that a frame between daemons has for it.
inline uint64_t UpstreamIncarnation(uint64_t started,
                                    std::span<const loaded_model> models) {
  constexpr int kShift = 32;
  uint64_t incarnation = Hash64("start", started);
  for (const loaded_model& model : models) {
    incarnation = CombineHash(incarnation, Hash64(model.version));
  }
  return incarnation >> kShift;
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_UPSTREAM_INCARNATION_H_
