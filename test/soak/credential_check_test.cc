// Tests which rejected requests the soak counts as violations.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "soak/guarantee_checker.h"

namespace cuminswitch::soak {
namespace {

using std::chrono::milliseconds;

steady_time At(int64_t ms) {
  return steady_time(milliseconds(ms));
}

/// A checker that knows configuration 1, which has all credentials.
class credential_check_test : public testing::Test {
 protected:
  credential_check_test() {
    Send(1, {"key2", "key3"}, 0);
    checker_.OnConfigurationAcknowledged(1, At(10));
  }

  void Send(uint64_t version, std::set<std::string> credentials, int64_t ms) {
    checker_.OnConfigurationSent({.version = version,
                                  .credentials = std::move(credentials),
                                  .sent_at = At(ms)});
  }

  /// Passes the response to a request with \p credential that was sent at 100
  /// ms to the checker.
  void Respond(const std::string& credential, uint32_t status, int64_t ms) {
    const sent_request request{.id = "c1-1",
                               .path = "/once/",
                               .workspace = "w2",
                               .credential = credential,
                               .sent_at = At(100),
                               .is_once = true};
    checker_.OnSent(request);
    checker_.OnResponse(request, {.status = status, .head_at = At(ms)});
  }

  guarantee_checker& checker() { return checker_; }
  const std::vector<std::string>& findings() const {
    return checker_.findings();
  }

 private:
  guarantee_checker checker_;
};

// Guards against a daemon that rejects a credential of every configuration.
TEST_F(credential_check_test, FindsRejectionWithoutRevocation) {
  Respond("key3", 401, 150);
  EXPECT_EQ(findings().size(), 1);
}

// Guards against a rejection that a later revocation would excuse.
TEST_F(credential_check_test, FindsRejectionBeforeRevocationWasSent) {
  Respond("key3", 401, 150);
  Send(2, {"key2"}, 150);
  EXPECT_EQ(findings().size(), 1);
}

// The same where the checker knows of the revocation first.
TEST_F(credential_check_test, FindsRejectionAtTimeOfRevocation) {
  Send(2, {"key2"}, 150);
  Respond("key3", 401, 150);
  EXPECT_EQ(findings().size(), 1);
}

// Guards against a configuration that would excuse the rejection of each
// credential.
TEST_F(credential_check_test, FindsRejectionOfCredentialThatIsKept) {
  Send(2, {"key2"}, 140);
  Respond("key2", 401, 150);
  EXPECT_EQ(findings().size(), 1);
}

// Guards against a daemon that goes back to a configuration without the
// credential.
TEST_F(credential_check_test, FindsRejectionByEarlierRevocation) {
  Send(2, {"key2"}, 20);
  checker().OnConfigurationAcknowledged(2, At(30));
  Send(3, {"key2", "key3"}, 40);
  checker().OnConfigurationAcknowledged(3, At(50));
  Respond("key3", 401, 150);
  EXPECT_EQ(findings().size(), 1);
}

// Guards against a revocation that would excuse any refusal.
TEST_F(credential_check_test, FindsOtherRefusalsDespiteRevocation) {
  Send(2, {"key2"}, 140);
  for (const uint32_t status : {400U, 403U, 404U}) {
    Respond("key3", status, 150);
  }
  EXPECT_EQ(findings(), std::vector<std::string>({"denied: c1-1 got 400",
                                                  "denied: c1-1 got 403",
                                                  "denied: c1-1 got 404"}));
}

// Guards against a finding for a request that waited at a suspended daemon
// while its credential was revoked.
TEST_F(credential_check_test, AllowsRejectionAfterRevocationWasSent) {
  Send(2, {"key2"}, 140);
  Respond("key3", 401, 150);
  EXPECT_TRUE(findings().empty());
  EXPECT_EQ(checker().rejected_by_revocation(), 1);
}

// Guards against a finding that does not show whether the rejection is allowed.
TEST_F(credential_check_test, NamesTimesOfConfigurations) {
  Send(2, {"key2"}, 140);
  Respond("key3", 401, 130);
  EXPECT_EQ(findings(),
            std::vector<std::string>(
                {"denied: c1-1 with key3 got 401 after 30000 us; relative to "
                 "its sending: configuration 1 with it sent at -100000 us, "
                 "acknowledged at -90000 us; configuration 2 without it sent "
                 "at 40000 us, not acknowledged"}));
}

}  // namespace
}  // namespace cuminswitch::soak
