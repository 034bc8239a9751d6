// Tests the sum of idle connections that a whole fleet keeps to an upstream.
//
// Symptom: an upstream resets new connections although it executes few
// requests.
// Sequence: hundreds of daemons each keep the connections that they once used.
// Cause: the upstream's maximum applies to all daemons together, but each
// daemon applied a maximum of its own.
#include "cuminswitch/Edge/connection_share.h"

#include <gtest/gtest.h>

#include <string>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {
namespace {

size_t SumOver(size_t daemons, connection_share share) {
  size_t sum = 0;
  share.daemons = daemons;
  for (size_t i = 0; i < daemons; ++i) {
    share.self = Hash64("host-" + std::to_string(i));
    sum += IdleShare(share);
  }
  return sum;
}

TEST(connection_share_test, FleetLeavesConnectionsForRunningRequests) {
  for (const size_t daemons : {1, 8, 63, 68, 300, 360, 600}) {
    for (const auto& [connections, slots] :
         {std::pair(370U, 64U), {110U, 8U}, {110U, 32U}, {64U, 60U}}) {
      for (uint64_t upstream = 1; upstream <= 20; ++upstream) {
        const size_t sum = SumOver(daemons, {.max_connections = connections,
                                             .slots = slots,
                                             .upstream = upstream * 977});
        EXPECT_LE(sum, std::max(connections - slots, connections / 3))
            << daemons << " daemons, " << connections << " connections";
      }
    }
  }
}

TEST(connection_share_test, SmallFleetKeepsIdleConnections) {
  EXPECT_EQ(IdleShare({.max_connections = 370, .slots = 64, .daemons = 8}),
            16U);
  EXPECT_GE(IdleShare({.max_connections = 110, .slots = 8, .daemons = 8}), 9U);
  EXPECT_EQ(IdleShare({.daemons = 600}), 16U);
}

}  // namespace
}  // namespace cuminswitch
