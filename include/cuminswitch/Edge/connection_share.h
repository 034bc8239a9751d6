/// \file
/// How many idle connections one daemon keeps to an upstream.
#ifndef CUMINSWITCH_EDGE_CONNECTION_SHARE_H_
#define CUMINSWITCH_EDGE_CONNECTION_SHARE_H_

#include <cstddef>
#include <cstdint>

namespace cuminswitch {

struct connection_share {
  /// Connections that the upstream takes from all daemons; 0 for not known.
  uint32_t max_connections = 0;
  /// Requests that it runs at once, which need connections too.
  uint32_t slots = 0;
  /// Daemons that may be at work, this one included.
  size_t daemons = 1;
  /// Hashes of this daemon's and of the upstream's name.
  uint64_t self = 0;
  uint64_t upstream = 0;
};

/// Returns the idle connections that this daemon may keep.
///
/// An upstream resets what comes beyond its connections, idle ones included,
/// and then a new request finds no way to it. Daemons that each keep as many as
/// they ever used at once hold more than all of them, the more daemons there
/// are. Where there is less than one for each, some keep one and the others
/// none.
size_t IdleShare(const connection_share& share);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_CONNECTION_SHARE_H_
