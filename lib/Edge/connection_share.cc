#include "cuminswitch/Edge/connection_share.h"

#include <algorithm>
#include <cmath>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Descriptors are few on small hosts.
static constexpr double kMostIdle = 16;
/// Who keeps one is drawn, so the sum varies by some.
static constexpr double kIdlePart = 0.75;
/// Of the connections, what may be idle at an upstream with hardly more
/// connections than slots.
static constexpr double kLeastIdlePart = 0.25;

size_t IdleShare(const connection_share& share) {
  if (share.max_connections == 0) {
    return static_cast<size_t>(kMostIdle);
  }
  const double all = share.max_connections;
  const double idle = std::max(kLeastIdlePart * all, all - share.slots);
  const double part = kIdlePart * idle /
                      static_cast<double>(std::max<size_t>(1, share.daemons));
  const double luck =
      static_cast<double>(CombineHash(share.self, share.upstream) >> 11) *
      0x1p-53;
  const double kept = std::floor(part) + (luck < part - std::floor(part));
  return static_cast<size_t>(std::min(kMostIdle, kept));
}

}  // namespace cuminswitch
