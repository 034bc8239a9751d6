/// \file
/// Which upstream has an address that several entries claim.
#ifndef CUMINSWITCH_FLEET_ADDRESS_OWNERS_H_
#define CUMINSWITCH_FLEET_ADDRESS_OWNERS_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "cuminswitch/Fleet/fleet_knowledge.h"

namespace cuminswitch {

/// Leaves out upstreams whose address another one has taken.
///
/// An upstream that crashes comes back under a new id at its old address, or
/// another service gets that address, seconds before the store drops the entry
/// of the one that crashed. Requests for the old id are all turned away there:
/// with some engines crashed, a request could meet several such entries in turn
/// and be refused. One process listens at an address, so of several
/// entries only the one that came last can be true.
class address_owners {
 public:
  /// Drops replaced upstreams from \p next.
  void DropReplaced(fleet_knowledge& next);

 private:
  using upstream_start = std::pair<std::string, uint64_t>;

  /// Starts (id and time) once replaced. They stay so, whatever a late write
  /// says, until their entries are gone.
  std::set<upstream_start> replaced_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ADDRESS_OWNERS_H_
