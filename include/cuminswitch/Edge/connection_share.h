/// \file
/// Limits the idle connections that one daemon keeps to an upstream.
#ifndef CUMINSWITCH_EDGE_CONNECTION_SHARE_H_
#define CUMINSWITCH_EDGE_CONNECTION_SHARE_H_

#include <cstddef>
#include <cstdint>

namespace cuminswitch {

struct connection_share {
  /// Connections that the upstream accepts from all daemons together; 0 if
  /// unknown.
  uint32_t max_connections = 0;
  /// Requests that the upstream executes concurrently; each needs a connection.
  uint32_t slots = 0;
  /// Daemons that are possibly active, including this one.
  size_t daemons = 1;
  /// Hashes of the names of this daemon and of the upstream.
  uint64_t self = 0;
  uint64_t upstream = 0;
};

/// Returns the number of idle connections that this daemon may keep.
///
/// An upstream resets connections beyond its maximum, which counts idle ones,
/// so too many idle connections make new requests fail. If each daemon kept as
/// many as it once used concurrently, a large fleet would exceed the maximum.
/// Where the share is below one connection per daemon, some daemons keep one
/// and the others none.
size_t IdleShare(const connection_share& share);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_CONNECTION_SHARE_H_
