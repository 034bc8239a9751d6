/// \file
/// Ports for programs that must know their addresses before they run.
#ifndef CUMINSWITCH_UTILS_STANDIN_FREE_PORTS_H_
#define CUMINSWITCH_UTILS_STANDIN_FREE_PORTS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cuminswitch {

/// Returns loopback ports that were free a moment ago. They lie below the range
/// from which the system gives ports to sockets that ask for any: from within
/// it, another process' connection could take one before the program listens,
/// which would show as a daemon that now and then cannot start. Throws
/// `std::runtime_error` when there are not so many.
std::vector<uint16_t> FindFreePorts(size_t count);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_STANDIN_FREE_PORTS_H_
