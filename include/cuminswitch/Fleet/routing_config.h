/// \file
/// What the operators want, as typed data. The structs are one family and
/// share this header.
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

/// What may be repeated of a route's requests.
enum class request_kind : uint8_t {
  kRepeatable,
  kOnce,
  /// A stream of events that runs at most once.
  kStream,
  /// A stream that another upstream may continue after its last event.
  kResumableStream,
};

/// A service's part of a route's requests.
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
  /// The longest time that a request may be kept waiting.
  std::chrono::milliseconds timeout{0};
  /// The time within which an answer is worth everything.
  std::chrono::milliseconds target_latency{0};
  /// The longest pause between events of a stream that is on time.
  std::chrono::milliseconds max_event_gap{500};
  /// After this long without an event the caller of a stream leaves; 0 for not
  /// known.
  std::chrono::milliseconds caller_idle_timeout{0};
  /// Upstreams that may run a request.
  uint32_t max_attempts = 1;
  /// 0 is the most urgent.
  uint32_t rank = 0;
  /// Needs no credential.
  bool is_public = false;
  std::vector<route_share> shares;

  /// Whether a request may run again, a stream after its last event.
  bool MayRepeat() const {
    return kind == request_kind::kRepeatable ||
           kind == request_kind::kResumableStream;
  }
  bool IsStream() const {
    return kind == request_kind::kStream ||
           kind == request_kind::kResumableStream;
  }
};

/// A store of cached prefixes.
struct cache_store_config {
  endpoint address;
  std::string failure_domain;
  /// Megabits per second of its link.
  double link_rate = 0;
};

/// A service whose upstreams answer a route's requests.
struct service_config {
  std::string name;
  bool is_engine = false;
  /// Models that its engines serve.
  std::vector<std::string> models;
  /// Megabits that one prompt token's cached prefix takes.
  double token_megabits = 0;
  /// Prompt tokens per second that an engine's link carries as cached prefix.
  double copy_rate = 0;
  /// Prompt tokens that one engine has memory for, running requests included.
  double cache_tokens = 0;
  /// Set for a store of cached prefixes; it has no upstreams.
  std::optional<cache_store_config> cache_store;
  /// Connections that one upstream takes from all daemons together.
  uint32_t max_connections = 0;
};

/// What a quota counts.
enum class quota_unit : uint8_t {
  kRequests,
  /// Tokens that a request reads and may write.
  kTokens,
};

/// What a workspace may use over the whole fleet.
struct quota_config {
  /// Units a second, more than 0.
  double rate = 0;
  /// Units that may be used at once beyond the rate.
  double burst = 0;
  quota_unit unit = quota_unit::kRequests;
  /// Tokens that a request counts that does not say how many it takes.
  double uncounted_tokens = 0;
};

struct workspace_config {
  std::string name;
  std::vector<std::string> credentials;
  /// In place of the routes' rank.
  std::optional<uint32_t> rank;
  /// Shares no cached prefix with any other workspace.
  bool is_isolated = false;
  /// Nothing for no limit.
  std::optional<quota_config> quota;
};

/// A configuration in full.
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
  /// Returns who holds \p credential, or null.
  const workspace_config* FindWorkspace(std::string_view credential) const;
  const service_config* FindService(std::string_view name) const;
  /// Sorts the routes and indexes the credentials; call it once, at the end.
  void BuildIndex();

 private:
  std::unordered_map<std::string, size_t> by_credential_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ROUTING_CONFIG_H_
