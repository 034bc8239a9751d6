/// \file
/// Chooses ports for programs whose addresses must be known before they start.
#ifndef CUMINSWITCH_UTILS_STANDIN_FREE_PORTS_H_
#define CUMINSWITCH_UTILS_STANDIN_FREE_PORTS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cuminswitch {

/// Returns \p count loopback ports that were free at the time of the call. They
/// lie below the ephemeral port range: another process' connection could take a
/// port within that range before the program listens on it, and daemons would
/// occasionally fail to start. Throws `std::runtime_error` when fewer are free.
std::vector<uint16_t> FindFreePorts(size_t count);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_STANDIN_FREE_PORTS_H_
