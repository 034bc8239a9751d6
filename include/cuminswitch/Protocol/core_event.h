/// \file
/// The events that the decision core handles.
#ifndef CUMINSWITCH_PROTOCOL_CORE_EVENT_H_
#define CUMINSWITCH_PROTOCOL_CORE_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Protocol/peer_message.h"
#include "cuminswitch/Protocol/platform_call.h"
#include "cuminswitch/Protocol/stream_origin.h"
#include "cuminswitch/Support/outcome.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The prompt up to the end of one level (preamble, contract, order): a hash
/// over the whole prefix, and its length in tokens.
struct prefix_level {
  uint64_t hash = 0;
  uint32_t tokens = 0;
};

/// Compact identifier of a model's weights version, for use where the version's
/// name would be too long.
using weights_tag = uint32_t;
inline constexpr weights_tag kNoWeights = 0;

/// Whether a request may reach more than one upstream that runs it.
enum class repeat_rule : uint8_t {
  /// As configured for the target.
  kByTarget,
  /// It may run any number of times.
  kRepeatable,
  /// It runs at most once; it is retried only if the attempt is known not to
  /// have run.
  kOnce,
};

/// A caller's request was received completely and its credential checked.
struct request_arrived {
  request_id request = 0;
  std::string workspace;
  /// The requested model or service.
  std::string target;
  /// The prompt's prefixes, outermost level first.
  std::vector<prefix_level> levels;
  uint32_t prompt_tokens = 0;
  /// Empty when the request may be repeated.
  std::string idempotency_key;
  /// When the key was created, in Unix seconds.
  uint64_t key_issued = 0;
  /// The caller says that it has never sent this key before.
  bool is_first_attempt = false;
  /// Digest of the parts that stay the same if the caller repeats the request;
  /// zero if unknown.
  hash128 request_digest;
  /// Digests of the prompt's parts in order, without the last, which belongs
  /// to the request or its session.
  std::vector<hash128> part_digests;
  /// How long the caller waits for the first byte.
  duration time_limit{0};
  /// Time to first byte, from the arrival, up to which the response has its
  /// full value; 0 if unknown.
  duration target_latency{0};
  /// Time without a byte after which the caller disconnects; 0 if unknown.
  duration caller_idle_timeout{0};
  repeat_rule repeats = repeat_rule::kByTarget;
  /// Maximum number of upstreams that may run it; 0 for no limit.
  uint32_t max_runs = 0;
  /// Overrides the workspace's priority.
  std::optional<priority_class> priority;
  /// The only software version at which it may run: the one that began the
  /// stream that it resumes. `kAnySoftware` for all other requests.
  software_tag software = kAnySoftware;
};

/// An upstream's load, reported along with a response.
struct upstream_load {
  std::string upstream;
  uint32_t running = 0;
  uint32_t waiting = 0;
  /// Requests that it executes concurrently; 0 if not stated.
  uint32_t slots = 0;
};

/// Prompt tokens queued at one upstream.
struct upstream_backlog {
  /// Hash of the upstream's name.
  uint64_t upstream = 0;
  uint32_t tokens = 0;
  friend bool operator==(const upstream_backlog&,
                         const upstream_backlog&) = default;
};

/// A shared prefix that was placed at an upstream, which caches it from then
/// on.
struct placed_prefix {
  uint64_t prefix = 0;
  /// Hash of the upstream's name.
  uint64_t upstream = 0;
  /// The upstream's incarnation for which it was placed.
  uint64_t incarnation = 0;
  /// Tag of the weights under which the upstream saves it to the cache store;
  /// `kNoWeights` if it does not save it.
  weights_tag saved_weights = kNoWeights;
};

/// A daemon's recent traffic, as decaying counts.
struct prompt_mix {
  double requests = 0;
  /// Sum over all prompts.
  double prompt_tokens = 0;
  /// Tokens that engines had to prefill for short and for long prompts.
  double short_prefill = 0;
  double long_prefill = 0;
  /// Seconds for which requests with short prompts occupied a slot of an
  /// engine.
  double short_held = 0;
  /// Number of seconds over which all of this was counted.
  double seconds = 0;
  /// Whether this daemon reserves engines for short prompts.
  bool reserves_engines = false;
};

/// A peer's report of its traffic and placements.
struct peer_placements {
  std::string peer;
  prompt_mix mix;
  std::vector<upstream_backlog> backlogs;
  /// Placed since the peer's previous report.
  std::vector<placed_prefix> prefixes;
};

/// An upstream's weights are being changed, or no longer are. It runs no
/// requests during the change.
struct upstream_changing {
  std::string upstream;
  bool is_changing = false;
  /// It serves, but may begin to change its weights at any time.
  bool may_change = false;
};

/// The caller closed its connection.
struct caller_disconnected {
  request_id request = 0;
};

/// The first byte of an attempt's response arrived from the upstream.
struct attempt_first_byte {
  attempt_id attempt = 0;
  /// The caller gets a part of the response with it, and would lose that if the
  /// request ended now.
  bool has_reached_caller = false;
};

/// An attempt is over.
struct attempt_ended {
  attempt_id attempt = 0;
  outcome result = outcome::kUnknown;
  /// The upstream refused the request because it is too busy, and did not run
  /// it.
  bool refused_busy = false;
  /// The reason is that it is another process than expected, or has other
  /// weights; `refused_busy` is also set.
  bool is_mismatch = false;
  /// No connection to the upstream could be established.
  bool unreachable = false;
  /// No slot was reserved, so the request was not sent.
  bool was_not_sent = false;
  /// It was not sent although its upstream would have accepted it.
  bool was_withdrawn = false;
  /// The upstream ran it and responded with an error. Healthy upstreams do so
  /// too, so only the share of such responses counts against an upstream.
  bool failed_in_run = false;
  /// The connection was lost before the response was complete, as happens when
  /// the upstream crashes.
  bool connection_lost = false;
  /// The response ended with its connection. An upstream that crashes closes
  /// its connections as well, so this does not show that it completed.
  bool is_unframed = false;
  /// Whether any part of this attempt's response was sent to the caller.
  bool response_started = false;
  /// Exact token counts from the response; 0 if it carried none.
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  /// The response to record, if it is complete, short enough and the request
  /// may be repeated by its caller.
  recorded_response response;
};

/// A model that an engine has loaded.
struct loaded_model {
  std::string name;
  std::string version;
  /// Tag of the version; set by the receiver of the report.
  weights_tag tag = kNoWeights;
};

/// Result of a `probe_upstream`. Reports lag by `age`.
struct upstream_report {
  std::string upstream;
  bool reachable = false;
  /// Identifies the contents of the upstream's cache: changes with each start,
  /// and with new weights if these discard the cache.
  uint64_t incarnation = 0;
  /// Identifies the upstream's start; 0 if unknown.
  uint64_t started = 0;
  duration age{0};
  uint32_t running = 0;
  uint32_t waiting = 0;
  bool leaving = false;
  std::vector<loaded_model> models;
};

/// A message from another daemon.
struct peer_received {
  peer_message message;
};

/// Sent when the core's `NextWake()` is reached.
struct tick {};

/// The daemon was told to stop gracefully.
struct stop_requested {};

using core_event = std::variant<request_arrived,
                                caller_disconnected,
                                attempt_first_byte,
                                attempt_ended,
                                upstream_report,
                                peer_received,
                                platform_reply,
                                tick,
                                stop_requested>;

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_CORE_EVENT_H_
