/// \file
/// The daemon's settings.
#ifndef CUMINSWITCH_SETTINGS_DAEMON_SETTINGS_H_
#define CUMINSWITCH_SETTINGS_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// Everything a daemon knows of itself. docs/REFERENCE.md lists the settings
/// with their defaults.
struct daemon_settings {
  std::string host;
  std::string failure_domain;
  endpoint caller_address;
  endpoint peer_address;
  endpoint platform_address;
  std::vector<endpoint> seeds;
  /// The secret between daemons.
  std::string peer_credential;
  /// SHA-256 of the operators' credential; empty leaves status pages open.
  std::string operator_credential_sha256;

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
  std::chrono::seconds key_retention{600};

  /// How long callers may keep an address answer.
  std::chrono::seconds address_time_to_live{5};
};

/// Reads and checks settings. Throws `findings_error` with every finding.
daemon_settings ParseDaemonSettings(std::string_view text,
                                    std::string_view file);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_SETTINGS_DAEMON_SETTINGS_H_
