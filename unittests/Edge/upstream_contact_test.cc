// Tests how a daemon that is partitioned from all upstreams is told from
// upstreams that fail.
#include "cuminswitch/Edge/upstream_contact.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using state = upstream_contact::state;

constexpr time_point kStart{std::chrono::seconds(100)};

time_point At(int ms) {
  return kStart + milliseconds(ms);
}

endpoint Address(int number) {
  return {.address = "10.0.0." + std::to_string(number), .port = 80};
}

TEST(upstream_contact_test, FailedProbesConfirmDoubt) {
  upstream_contact contact;
  EXPECT_FALSE(contact.NeedsProbes(At(0)));
  contact.OnFailure(At(0), {.upstream = Address(1), .on_new_connection = true});
  EXPECT_EQ(contact.current(), state::kInDoubt);
  EXPECT_FALSE(contact.NeedsProbes(At(10)));
  ASSERT_TRUE(contact.NeedsProbes(At(50)));
  contact.OnProbesSent(At(50));
  EXPECT_FALSE(contact.NeedsProbes(At(60)));
  contact.OnProbesFailed(At(50));
  EXPECT_EQ(contact.current(), state::kLost);
  EXPECT_TRUE(contact.NeedsProbes(At(300)));
  contact.OnResponse(At(300), true);
  EXPECT_EQ(contact.current(), state::kReached);
}

TEST(upstream_contact_test, OnlyLaterRequestEndsDoubt) {
  upstream_contact contact;
  contact.OnFailure(At(10), {.upstream = Address(1)});
  contact.OnResponse(At(9), true);
  EXPECT_EQ(contact.current(), state::kInDoubt);
  contact.OnResponse(At(10), false);
  EXPECT_EQ(contact.current(), state::kReached);
}

// Guards against open connections that live on hiding that all new ones are
// refused.
TEST(upstream_contact_test, OpenConnectionsDoNotProveNewOnes) {
  upstream_contact contact;
  contact.OnFailure(At(0), {.upstream = Address(1), .on_new_connection = true});
  contact.OnResponse(At(20), false);
  EXPECT_EQ(contact.current(), state::kInDoubt);
  contact.OnResponse(At(20), true);
  EXPECT_EQ(contact.current(), state::kReached);
}

// Guards against an overloaded upstream casting doubt on the contact with all.
TEST(upstream_contact_test, SilenceCountsOnlyIfNoneResponds) {
  upstream_contact contact;
  contact.OnResponse(At(100), false);
  contact.OnSilence(At(600), Address(1), At(50));
  EXPECT_EQ(contact.current(), state::kReached);
  contact.OnSilence(At(700), Address(1), At(101));
  EXPECT_EQ(contact.current(), state::kInDoubt);
}

TEST(upstream_contact_test, OlderProbesDoNotConfirmNewDoubt) {
  upstream_contact contact;
  contact.OnFailure(At(0), {.upstream = Address(1)});
  contact.OnProbesSent(At(50));
  contact.OnResponse(At(60), false);
  contact.OnFailure(At(70), {.upstream = Address(2)});
  contact.OnProbesFailed(At(50));
  EXPECT_EQ(contact.current(), state::kInDoubt);
}

TEST(upstream_contact_test, ProbesDifferentServicesAndOthersFirst) {
  constexpr int kUpstreams = 8;
  std::vector<upstream_ref> upstreams;
  upstreams.reserve(kUpstreams);
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.push_back(std::make_shared<upstream_entry>(
        upstream_entry{.id = std::to_string(i),
                       .service = i < 6 ? "a" : "b",
                       .address = Address(i)}));
  }
  for (uint64_t seed = 0; seed < 20; ++seed) {
    const auto chosen =
        ChooseProbeTargets(upstreams, {Address(6), Address(0)}, 3, seed);
    ASSERT_EQ(chosen.size(), 3U);
    EXPECT_NE(std::find(chosen.begin(), chosen.end(), Address(7)),
              chosen.end());
    EXPECT_EQ(std::count(chosen.begin(), chosen.end(), Address(0)), 0);
    EXPECT_EQ(std::count(chosen.begin(), chosen.end(), Address(6)), 0);
  }
}

}  // namespace
}  // namespace cuminswitch
