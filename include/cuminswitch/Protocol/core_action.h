/// \file
/// Everything that the decision core asks of its shell. The actions are one
/// family and share this header.
#ifndef CUMINSWITCH_PROTOCOL_CORE_ACTION_H_
#define CUMINSWITCH_PROTOCOL_CORE_ACTION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cuminswitch/Protocol/expected_wait.h"
#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Protocol/peer_message.h"
#include "cuminswitch/Protocol/platform_call.h"
#include "cuminswitch/Support/outcome.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

struct configuration;

/// Send the request to an upstream.
struct dispatch_attempt {
  request_id request = 0;
  attempt_id attempt = 0;
  std::string upstream;
  endpoint address;
  /// Goes with the request to upstreams; one that checks refuses an old one.
  epoch_number fencing = 0;
  /// Workspace, model, version and adapter in one hash. Engines keep the caches
  /// of different scopes apart.
  uint64_t cache_scope = 0;
  /// Use no kept connection: one that the upstream has closed in the meantime
  /// would leave in doubt whether it ran the request.
  bool fresh_connection = false;
  /// The upstream's last attempt failed: only a new connection shows whether it
  /// lives, before anything is sent.
  bool after_failure = false;
  /// The weights that the upstream is believed to have; empty for a service.
  std::string weights_version;
  /// Another engine that should have more of the prompt's prefixes cached; the
  /// upstream may copy them from there.
  std::optional<endpoint> cache_source;
  /// Where the upstream is to save the prefixes that it computes.
  std::optional<endpoint> cache_sink;
  /// The request's earlier attempts.
  uint32_t earlier_attempts = 0;
  /// Retries for this target in the present window, and those allowed.
  uint32_t retries_used = 0;
  double retries_allowed = 0;
  /// What decided the placement, for the log: the prompt's tokens, those that
  /// are believed to be cached there, and the estimated wait in its queue.
  uint32_t prompt_tokens = 0;
  double expected_cached_tokens = 0;
  /// Where the shared prefix is to come from, or why it is read again.
  std::string_view prefix_origin;
  duration expected_queue{0};
  /// How long requests like this one wait for their first byte of late.
  duration mean_first_byte{0};
};

/// Stop an attempt; nothing more of it goes to the caller.
struct cancel_attempt {
  attempt_id attempt = 0;
};

/// The request's final answer, given by the daemon and not by an upstream.
struct local_response {
  request_id request = 0;
  outcome result = outcome::kNotRun;
  uint32_t status = 0;
  /// 0 when coming back makes no sense.
  uint32_t retry_after_seconds = 0;
  /// A finer `retry_after_seconds`, for callers that understand fractions.
  duration retry_after{0};
  std::string message;
  /// The earlier answer to the same key, when `result` is `kAnswered`.
  recorded_response recorded;
  /// What a refusal for lateness was decided from.
  std::optional<expected_wait> wait;
};

struct send_peer {
  endpoint to;
  peer_message message;
};

/// Ask an upstream for its load report.
struct probe_upstream {
  std::string upstream;
  endpoint address;
};

/// A configuration came into force in this daemon.
struct configuration_adopted {
  generation_number generation = 0;
  std::shared_ptr<const configuration> config;
};

/// The members that callers may be told of changed.
struct members_changed {
  std::vector<member> members;
};

/// Every request has ended and the shards are handed over.
struct stop_ready {};

using core_action = std::variant<dispatch_attempt,
                                 cancel_attempt,
                                 local_response,
                                 send_peer,
                                 platform_call,
                                 probe_upstream,
                                 configuration_adopted,
                                 members_changed,
                                 stop_ready>;

using action_list = std::vector<core_action>;

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_CORE_ACTION_H_
