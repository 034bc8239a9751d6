/// \file
/// The configuration that the operators intend, as typed data.
#ifndef CUMINSWITCH_CONFIG_CONFIGURATION_H_
#define CUMINSWITCH_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The priority of a workspace's requests. The priority of queued requests
/// rises with their age, so that batch requests wait longer but are never
/// starved.
enum class priority_class : uint8_t { kInteractive, kStandard, kBatch };
inline constexpr size_t kPriorityClasses = 3;

/// The cost that has the greatest weight in routing.
enum class routing_objective : uint8_t {
  /// Tail latency of the first token.
  kFirstToken,
  /// Recomputation of prefixes that an engine has in its cache: raises the hit
  /// rate of the prefix caches.
  kReuse,
};

/// Whether an upstream is a language-model engine or another service.
enum class upstream_kind : uint8_t { kEngine, kService };

/// Settings of the whole platform and its service-level objectives.
struct platform_spec {
  std::string name;
  routing_objective objective = routing_objective::kFirstToken;
  uint32_t first_token_target_ms = 1600;
  uint32_t between_tokens_target_ms = 61;
  /// Objective for the fraction of requests with outcome `kAnswered`, in parts
  /// per million.
  uint32_t answered_target_ppm = 999'000;
};

/// A store where engines save the prefixes in their caches, and from which they
/// copy them.
struct cache_store_spec {
  endpoint address;
  /// The failure domain of the store. A copy to an engine in another failure
  /// domain occupies the link of the store for twice as long.
  std::string failure_domain;
  /// Bandwidth of its link in prompt tokens per second; 0 if unknown.
  double copy_rate = 0;
};

/// A model that engines serve. Cached prefixes are valid for one version of the
/// weights only.
struct model_spec {
  std::string name;
  std::string version;
  /// A version that is new to this daemon was published after this; empty if it
  /// counts as published when it is applied.
  std::optional<time_point> published_after;
  std::string adapter;
  /// The stores of computed prefixes; each prefix is assigned to one of them.
  std::vector<cache_store_spec> cache_stores;
  /// Prompt tokens per second that one engine can copy from another; 0 where
  /// engines cannot copy.
  double copy_rate = 0;
  /// Capacity of the prefix cache of one engine in prompt tokens; 0 if unknown.
  double cache_tokens = 0;
  /// Longest time for which an engine reserves a slot; 0 where it reserves
  /// none.
  duration max_reservation{0};
};

/// A service without a model that requests are routed to.
struct service_spec {
  std::string name;
  /// Whether a request may be retried without an idempotency key.
  bool repeatable = false;
};

/// One process that serves requests.
struct upstream_spec {
  std::string name;
  upstream_kind kind = upstream_kind::kEngine;
  endpoint address;
  std::string failure_domain;
  /// Version of its software; empty if unknown.
  std::string software_version;
  /// Names of the models (engine) or services (service) it serves. On the
  /// platform, the name of its service comes first.
  std::vector<std::string> serves;
  /// Maximum number of concurrent requests from all daemons.
  uint32_t max_in_flight = 16;
  /// Whether it refuses requests with an outdated fencing token.
  bool checks_fencing = false;
  /// Set by operators to drain the upstream.
  bool leaving = false;
};

/// One customer: its credential, rights and limits.
struct workspace_spec {
  std::string name;
  /// SHA-256 of the credential, in hexadecimal.
  std::string credential_sha256;
  priority_class priority = priority_class::kStandard;
  /// Names of the models and services it may use.
  std::vector<std::string> uses;
  /// Maximum number of concurrent requests to all daemons.
  uint32_t max_in_flight = 64;
  /// The workspaces with the same pool share cached prefixes; if empty, the
  /// workspace shares with no other.
  std::string cache_pool;
};

/// Restricts the requests of a workspace for one model or service to upstreams
/// in the given failure domains.
struct placement_spec {
  std::string workspace;
  /// The name of a model or a service.
  std::string target;
  std::vector<std::string> failure_domains;
};

/// The whole configuration. Each list is sorted by name; placements are sorted
/// by workspace, then target.
struct configuration {
  platform_spec platform;
  std::vector<model_spec> models;
  std::vector<service_spec> services;
  std::vector<upstream_spec> upstreams;
  std::vector<workspace_spec> workspaces;
  std::vector<placement_spec> placements;

  const model_spec* FindModel(std::string_view name) const;
  const service_spec* FindService(std::string_view name) const;
  const workspace_spec* FindWorkspace(std::string_view name) const;
};

std::string_view ToString(priority_class value);
std::string_view ToString(routing_objective value);
std::string_view ToString(upstream_kind value);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CONFIG_CONFIGURATION_H_
