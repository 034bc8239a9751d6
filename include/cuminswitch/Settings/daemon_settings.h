/// \file
/// The settings of a daemon.
#ifndef CUMINSWITCH_SETTINGS_DAEMON_SETTINGS_H_
#define CUMINSWITCH_SETTINGS_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// The settings of one daemon. docs/REFERENCE.md lists them with their
/// defaults.
struct daemon_settings {
  std::string host;
  std::string failure_domain;
  endpoint caller_address;
  endpoint peer_address;
  endpoint platform_address;
  /// Peer addresses through which the daemon joins the fleet.
  std::vector<endpoint> seeds;
  /// The shared secret with which daemons authenticate to each other.
  std::string peer_credential;
  /// SHA-256 of the operators' credential in hexadecimal. If it is empty,
  /// status pages need no credential.
  std::string operator_credential_sha256;

  /// Bytes of a request's body and of its head.
  size_t max_body_size = 4UL << 20;
  size_t max_header_size = 16UL << 10;
  std::chrono::milliseconds caller_read_timeout{30'000};
  std::chrono::milliseconds caller_write_timeout{30'000};
  std::chrono::milliseconds upstream_connect_timeout{1'000};
  std::chrono::milliseconds upstream_idle_timeout{60'000};

  std::string routing_policy = "prefix_cost";
  uint32_t max_upstream_probes_per_second = 25;
  uint32_t shard_count = 16;
  uint32_t fleet_writes_per_second = 200;
  /// How long idempotency keys are kept.
  std::chrono::seconds key_retention{600};

  /// How long callers may cache an address response.
  std::chrono::seconds address_time_to_live{5};
};

/// Parses and checks settings; \p file names their source in findings. Throws
/// `findings_error` with every finding.
daemon_settings ParseDaemonSettings(std::string_view text,
                                    std::string_view file);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SETTINGS_DAEMON_SETTINGS_H_
