// When upstreams are probed whose addresses other entries claim too.
#include "cuminswitch/Edge/address_claims.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;

constexpr time_point kNow{std::chrono::seconds(100)};

// Guards against an upstream that gets no requests because an entry of a
// service without requests claims its address: nothing else shows that this is
// wrong.
TEST(address_claims_test, ProbesUntilSomethingResponds) {
  address_claims claims(1);
  claims.Add(kNow, 7, 8);
  EXPECT_TRUE(claims.TakeDue(kNow).empty()) << "requests may show it";
  EXPECT_EQ(claims.TakeDue(kNow + milliseconds(400)), std::vector<uint64_t>{7});
  EXPECT_TRUE(claims.TakeDue(kNow + milliseconds(500)).empty());
  EXPECT_EQ(claims.TakeDue(kNow + milliseconds(1500)),
            std::vector<uint64_t>{7});
  claims.Remove(7);
  EXPECT_TRUE(claims.TakeDue(kNow + milliseconds(9000)).empty());
}

// Guards against probes for good at an address where nothing listens.
TEST(address_claims_test, ProbesAreLimited) {
  address_claims claims(1);
  claims.Add(kNow, 7, 8);
  size_t probes = 0;
  for (int i = 0; i < 1000; ++i) {
    probes += claims.TakeDue(kNow + milliseconds(100 * i)).size();
  }
  EXPECT_EQ(probes, 5U);
  EXPECT_TRUE(claims.IsEmpty());
}

// Guards against a thousand connections at once to an upstream that restarts.
TEST(address_claims_test, ProbesOfALargeFleetAreSpread) {
  std::vector<size_t> probes(100);
  for (uint64_t daemon = 0; daemon < 1000; ++daemon) {
    address_claims claims(Hash64("d", daemon));
    claims.Add(kNow, 7, 1000);
    for (size_t i = 0; i < probes.size(); ++i) {
      if (!claims.TakeDue(kNow + milliseconds(25 * i)).empty()) {
        ++probes[i];
        break;
      }
    }
  }
  EXPECT_LE(*std::max_element(probes.begin(), probes.end()), 40U);
}

}  // namespace
}  // namespace cuminswitch
