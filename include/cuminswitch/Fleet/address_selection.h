/// \file
/// Selects the host addresses that a caller receives.
#ifndef CUMINSWITCH_FLEET_ADDRESS_SELECTION_H_
#define CUMINSWITCH_FLEET_ADDRESS_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "cuminswitch/Fleet/peer_frame.h"

namespace cuminswitch {

/// A caller's request for addresses.
struct address_query {
  /// The caller's failure domain; empty if the caller does not give one.
  std::string_view failure_domain;
  /// Identifies the caller. The same value yields nearly the same addresses on
  /// each request, so that the caller keeps its connections; different values
  /// yield different addresses.
  uint64_t caller = 0;
  /// Maximum number of addresses in the response.
  size_t max_count = 64;
};

/// Selects addresses from \p serving so that load spreads over a fleet with
/// more hosts than a response lists. Callers are distributed evenly over the
/// hosts of their failure domain, and also receive some addresses in other
/// domains, with which they survive the loss of their own domain until their
/// next request. If the domain has fewer hosts than fit, hosts of other domains
/// fill the response.
std::vector<endpoint> ChooseAddresses(std::span<const daemon_record> serving,
                                      const address_query& query);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ADDRESS_SELECTION_H_
