// Tests which upstream responds at an address, with plain sockets as upstreams.
#include "cuminswitch/Edge/upstream_verifier.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../Http1/loopback.h"
#include "cuminswitch/Edge/response_probe.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Http1/upstream_pool.h"
#include "edge_fakes.h"

namespace cuminswitch {
namespace {

class upstream_verifier_test : public testing::Test {
 protected:
  upstream_verifier_test()
      : base_(event_base_new()),
        pool_(base_),
        verifier_(
            pool_,
            protocol_,
            [this](uint64_t upstream, time_point /*sent*/, bool is_other) {
              (is_other ? others_ : responded_).push_back(upstream);
            }) {}

  /// Starts a probe and responds to it.
  void Respond(const std::string& response) {
    verifier_.Start(ReadBootClock(), 7,
                    {.id = "e1", .address = listener_.Address()});
    upstream_ = listener_.Accept(base_);
    ASSERT_NE(upstream_, nullptr);
    ASSERT_TRUE(RunUntil(base_, [this] {
      upstream_->Poll();
      return upstream_->received.ends_with("\r\n\r\n");
    }));
    EXPECT_NE(upstream_->received.find("Expect: e1"), std::string::npos);
    upstream_->Send(response);
  }

  event_base* base_;
  upstream_pool pool_;
  fixed_protocol protocol_;
  raw_listener listener_;
  std::unique_ptr<raw_socket> upstream_;
  std::vector<uint64_t> responded_;
  /// Upstreams at whose address another process responded.
  std::vector<uint64_t> others_;
  upstream_verifier verifier_;
};

TEST_F(upstream_verifier_test, ReportsAnUpstreamThatResponds) {
  Respond("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(RunUntil(base_, [this] { return !responded_.empty(); }));
  EXPECT_EQ(responded_, std::vector<uint64_t>{7});
  verifier_.OnTick(ReadBootClock() + response_probe::kTimeout);
  EXPECT_TRUE(verifier_.IsIdle());
}

// Guards against an upstream that took over the address of a crashed one being
// taken for it.
TEST_F(upstream_verifier_test, TellsAnotherUpstreamAtTheAddressApart) {
  Respond("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(RunUntil(base_, [this] { return !others_.empty(); }));
  EXPECT_EQ(others_, std::vector<uint64_t>{7});
  EXPECT_TRUE(responded_.empty());
}

TEST(crash_verification_test, TwoDaemonsOfEachDomainVerifyACrash) {
  std::vector<daemon_record> fleet;
  fleet.reserve(30);
  for (int i = 0; i < 30; ++i) {
    fleet.push_back({.name = "d" + std::to_string(i),
                     .failure_domain = "z" + std::to_string(i % 3),
                     .is_ready = true});
  }
  for (uint64_t upstream = 1; upstream <= 20; ++upstream) {
    std::map<std::string, int> verifiers;
    for (const daemon_record& self : fleet) {
      std::vector<daemon_record> peers = fleet;
      std::erase_if(peers, [&](const daemon_record& item) {
        return item.name == self.name;
      });
      verifiers[self.failure_domain] +=
          VerifiesCrash(self, peers, upstream) ? 1 : 0;
    }
    EXPECT_EQ(verifiers,
              (std::map<std::string, int>{{"z0", 2}, {"z1", 2}, {"z2", 2}}));
  }
}

}  // namespace
}  // namespace cuminswitch
