/// \file
/// Checks that daemons reject a request for its credential only where a
/// configuration without it may be in force.
#ifndef CUMINSWITCH_TEST_SOAK_CREDENTIAL_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_CREDENTIAL_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "soak/steady_time.h"

namespace cuminswitch::soak {

/// A configuration as it is written to the store.
struct sent_configuration {
  uint64_t version = 0;
  std::set<std::string> credentials;
  /// When it was first sent, whether or not the store received it.
  steady_time sent_at{};
  std::optional<steady_time> acknowledged_at;
};

/// A response of status 401.
struct credential_rejection {
  /// The request id.
  std::string id;
  std::string credential;
  steady_time sent_at{};
  steady_time rejected_at{};
};

/// Compares the times of rejected requests with those of the configurations.
/// Callers send no request whose credential has been revoked, so that only a
/// revocation sent during the request allows its rejection.
class credential_check {
 public:
  void OnConfigurationSent(const sent_configuration& item);
  void OnConfigurationAcknowledged(uint64_t version, steady_time at);
  /// Returns a description of the violation if no configuration sent during the
  /// request lacks its credential.
  std::optional<std::string> OnRejected(const credential_rejection& item);
  /// Number of rejections that a revocation during the request allowed.
  size_t allowed() const { return allowed_; }

 private:
  bool WasRevokedDuring(const credential_rejection& item) const;
  /// Lists the configurations with their times relative to the request.
  std::string Describe(const credential_rejection& item) const;

  std::map<uint64_t, sent_configuration> configurations_;
  size_t allowed_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_CREDENTIAL_CHECK_H_
