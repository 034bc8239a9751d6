/// \file
/// Chooses the daemons that a request is forwarded to.
#ifndef CUMINSWITCH_EDGE_PEER_SELECTION_H_
#define CUMINSWITCH_EDGE_PEER_SELECTION_H_

#include <span>
#include <string_view>
#include <vector>

#include "cuminswitch/Edge/forwarded_request.h"
#include "cuminswitch/Fleet/peer_frame.h"

namespace cuminswitch {

/// Returns the peers that the request of the caller's \p attempt is offered to,
/// in the order in which they are tried: at most three that reach upstreams of
/// \p service. Those that are stopping come last. Different attempts get
/// different peers.
std::vector<forward_target> ChooseForwardTargets(
    std::span<const daemon_record> peers,
    std::string_view service,
    std::string_view attempt);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_PEER_SELECTION_H_
