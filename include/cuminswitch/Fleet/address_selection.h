/// \file
/// Which hosts' addresses a caller is told.
#ifndef CUMINSWITCH_FLEET_ADDRESS_SELECTION_H_
#define CUMINSWITCH_FLEET_ADDRESS_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "cuminswitch/Fleet/peer_frame.h"

namespace cuminswitch {

/// Who asks for addresses.
struct address_query {
  /// The caller's; empty where it does not say.
  std::string_view failure_domain;
  /// Stands for the caller. It gets much the same addresses each time, so that
  /// it goes on using its connections; others get others.
  uint64_t caller = 0;
  /// Addresses that an answer holds.
  size_t max_count = 64;
};

/// Chooses among \p serving for the load of a fleet with more hosts than an
/// answer names: callers spread evenly over the hosts of their failure domain,
/// and hold some addresses of others, with which they survive the loss of it
/// until they ask again. Where the domain has fewer hosts than fit, hosts of
/// the others fill the answer.
std::vector<endpoint> ChooseAddresses(std::span<const daemon_record> serving,
                                      const address_query& question);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ADDRESS_SELECTION_H_
