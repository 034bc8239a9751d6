/// \file
/// The operators' intended configuration as typed data. The structs are one
/// family and share this header.
#ifndef CUMINSWITCH_CONFIG_CONFIGURATION_H_
#define CUMINSWITCH_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// How urgent a workspace's requests are. Waiting requests age towards the
/// more urgent classes, so that batch work waits but is never starved.
enum class priority_class : uint8_t { kInteractive, kStandard, kBatch };
inline constexpr size_t kPriorityClasses = 3;

/// Which cost a platform weighs most when it places requests.
enum class routing_objective : uint8_t {
  /// Tail of time to first token.
  kFirstToken,
  /// Prefix reuse: hit rate and wasted recomputation.
  kReuse,
};

/// What an upstream is: a language-model engine or a plain service.
enum class upstream_kind : uint8_t { kEngine, kService };

/// Settings of the whole platform and its service-level objectives.
struct platform_spec {
  std::string name;
  routing_objective objective = routing_objective::kFirstToken;
  uint32_t first_token_target_ms = 1600;
  uint32_t between_tokens_target_ms = 61;
  /// Share of requests that must be answered, in parts per million.
  uint32_t answered_target_ppm = 999'000;
};

/// A store from which engines copy cached prefixes, and where they save them.
struct cache_store_spec {
  endpoint address;
  /// Copies from another failure domain take its link for twice as long.
  std::string failure_domain;
  /// Prompt tokens per second that its link carries; 0 for not known.
  double copy_rate = 0;
};

/// A model that engines serve. Weights of another version are another cache.
struct model_spec {
  std::string name;
  std::string version;
  std::string adapter;
  /// Where engines save prefixes that they computed, and copy them from; each
  /// prefix has its place in one of them.
  std::vector<cache_store_spec> cache_stores;
  /// Prompt tokens per second that one engine can copy from another; 0 where
  /// engines cannot copy.
  double copy_rate = 0;
  /// Prompt tokens that one engine can keep; 0 for not known.
  double cache_tokens = 0;
};

/// A plain service that requests are routed to.
struct service_spec {
  std::string name;
  /// Whether a call may be repeated without an idempotency key.
  bool repeatable = false;
};

/// One process that answers requests.
struct upstream_spec {
  std::string name;
  upstream_kind kind = upstream_kind::kEngine;
  endpoint address;
  std::string failure_domain;
  /// Names of the models (engine) or services (service) it serves.
  std::vector<std::string> serves;
  uint32_t max_in_flight = 16;
  /// Whether it refuses a request that carries an old fencing number.
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
  uint32_t max_in_flight = 64;
};

/// Limits a workspace's use of one model or service to failure domains.
struct placement_spec {
  std::string workspace;
  /// A model's or a service's name.
  std::string target;
  std::vector<std::string> failure_domains;
};

/// Everything the operators intend, sorted by name within each list.
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
