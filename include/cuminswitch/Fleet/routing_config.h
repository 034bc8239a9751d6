/// \file
/// The routing configuration set by the operators, as typed data. The structs
/// belong together and share this header.
#ifndef CUMINSWITCH_FLEET_ROUTING_CONFIG_H_
#define CUMINSWITCH_FLEET_ROUTING_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// How a route's requests may be retried.
enum class request_kind : uint8_t {
  kRepeatable,
  kOnce,
  /// A stream of events with at-most-once execution.
  kStream,
  /// A stream of events that another upstream may resume after the last event
  /// sent.
  kResumableStream,
};

/// A service's share of a route's requests.
struct route_share {
  std::string service;
  uint32_t weight = 1;
};

struct route_spec {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  request_kind kind = request_kind::kOnce;
  /// Upper bound on the time that a request may wait for its response.
  std::chrono::milliseconds timeout{0};
  /// Target latency; a response within it has full value to the caller.
  std::chrono::milliseconds target_latency{0};
  /// Maximum gap between events of a stream that counts as on time.
  std::chrono::milliseconds max_event_gap{500};
  /// Time without an event after which the caller closes a stream; 0 if
  /// unknown.
  std::chrono::milliseconds caller_idle_timeout{0};
  /// Maximum number of upstreams to which a request is sent.
  uint32_t max_attempts = 1;
  /// 0 is the most urgent.
  uint32_t rank = 0;
  /// Whether requests need no credential.
  bool is_public = false;
  std::vector<route_share> shares;

  /// Whether a request may be retried at another upstream; a stream resumes
  /// after its last event.
  bool MayRepeat() const {
    return kind == request_kind::kRepeatable ||
           kind == request_kind::kResumableStream;
  }
  bool IsStream() const {
    return kind == request_kind::kStream ||
           kind == request_kind::kResumableStream;
  }
};

/// A store of cached prompt prefixes.
struct cache_store_config {
  endpoint address;
  std::string failure_domain;
  /// Bandwidth of its link in Mbit/s.
  double link_rate = 0;
};

/// A service whose upstreams handle a route's requests.
struct service_config {
  std::string name;
  bool is_engine = false;
  /// Models that its engines serve.
  std::vector<std::string> models;
  /// Size of the cached prefix per prompt token, in megabits.
  double token_megabits = 0;
  /// Rate at which an engine's link transfers cached prefixes, in prompt tokens
  /// per second.
  double copy_rate = 0;
  /// Capacity of one engine's prefix cache in prompt tokens, including running
  /// requests.
  double cache_tokens = 0;
  /// Longest time for which an engine reserves a slot; 0 where it reserves
  /// none.
  std::chrono::milliseconds max_reservation{0};
  /// Set only for a store of cached prefixes, which has no upstreams.
  std::optional<cache_store_config> cache_store;
  /// Maximum number of connections to one upstream from all daemons together.
  uint32_t max_connections = 0;
};

/// Unit of a quota.
enum class quota_unit : uint8_t {
  kRequests,
  /// Prompt tokens plus the maximum completion tokens of a request.
  kTokens,
};

/// Quota of a workspace across the whole fleet.
struct quota_config {
  /// Units per second; greater than 0.
  double rate = 0;
  /// Units that may be used at once in excess of the rate.
  double burst = 0;
  quota_unit unit = quota_unit::kRequests;
  /// Tokens charged for a request that does not state its token count.
  double uncounted_tokens = 0;
};

struct workspace_config {
  std::string name;
  std::vector<std::string> credentials;
  /// Overrides the rank of the routes.
  std::optional<uint32_t> rank;
  /// Whether cached prefixes are not shared with other workspaces.
  bool is_isolated = false;
  /// Empty for no limit.
  std::optional<quota_config> quota;
};

/// A complete configuration.
struct routing_config {
  uint64_t version = 0;
  std::vector<route_spec> routes;
  std::vector<service_config> services;
  std::vector<workspace_config> workspaces;
  size_t max_head_size = 0;
  size_t max_body_size = 0;
  std::chrono::milliseconds request_timeout{0};
  std::chrono::milliseconds idle_timeout{0};

  /// Returns the route of \p host with the longest prefix of \p path, or null.
  const route_spec* FindRoute(std::string_view host,
                              std::string_view path) const;
  /// Returns the workspace that \p credential belongs to, or null.
  const workspace_config* FindWorkspace(std::string_view credential) const;
  const service_config* FindService(std::string_view name) const;
  /// Sorts the routes and indexes the credentials. Call once, after all fields
  /// are set.
  void BuildIndex();

 private:
  std::unordered_map<std::string, size_t> by_credential_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ROUTING_CONFIG_H_
