/// \file
/// Upstreams in use whose addresses other entries claim too.
#ifndef CUMINSWITCH_EDGE_ADDRESS_CLAIMS_H_
#define CUMINSWITCH_EDGE_ADDRESS_CLAIMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Decides when an upstream is probed because its entry replaced another one at
/// its address. Requests show whether it is there too, but it may get none: its
/// entry may belong to another service. Has no clock and does no I/O.
class address_claims {
 public:
  /// \p self is a hash of this daemon's name.
  explicit address_claims(uint64_t self) : self_(self) {}

  /// Adds \p upstream, which came into use at \p now. The probes of \p
  /// fleet_size daemons are spread over some time.
  void Add(time_point now, uint64_t upstream, size_t fleet_size);
  /// Drops \p upstream: it has responded, or its entry is no longer in use.
  void Remove(uint64_t upstream) { claims_.erase(upstream); }
  /// Returns the upstreams that are to be probed now.
  std::vector<uint64_t> TakeDue(time_point now);
  bool IsEmpty() const { return claims_.empty(); }

 private:
  struct claim {
    time_point next_probe{};
    int probes = 0;
  };

  uint64_t self_;
  std::map<uint64_t, claim> claims_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_ADDRESS_CLAIMS_H_
