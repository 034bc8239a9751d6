#include "cuminswitch/Edge/connection_share.h"

#include <algorithm>
#include <cmath>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Idle connections kept to one upstream at most; small hosts have few file
/// descriptors.
static constexpr double kMaxIdleConnections = 16;
/// Fraction of the idle connections that the fleet uses. Whether a daemon keeps
/// one more depends on a hash, so the sum over all daemons varies.
static constexpr double kUsableIdleShare = 0.75;
/// Fraction of the connections that may be idle at an upstream that accepts
/// hardly more connections than it has slots.
static constexpr double kMinIdleShare = 0.25;

size_t IdleShare(const connection_share& share) {
  if (share.max_connections == 0) {
    return static_cast<size_t>(kMaxIdleConnections);
  }
  const double total = share.max_connections;
  const double idle = std::max(kMinIdleShare * total, total - share.slots);
  const double expected =
      kUsableIdleShare * idle /
      static_cast<double>(std::max<size_t>(1, share.daemons));
  const double draw =
      static_cast<double>(CombineHash(share.self, share.upstream) >> 11) *
      0x1p-53;
  const double limit =
      std::floor(expected) + (draw < expected - std::floor(expected));
  return static_cast<size_t>(std::min(kMaxIdleConnections, limit));
}

}  // namespace cuminswitch
