/// \file
/// Everything that the decision core is told. The events are one family and
/// share this header.
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
#include "cuminswitch/Support/outcome.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The prompt up to the end of one level (preamble, contract, order): a hash
/// over all of it, and its length.
struct prefix_level {
  uint64_t hash = 0;
  uint32_t tokens = 0;
};

/// Stands for a version of a model's weights where its name is too long.
using weights_tag = uint32_t;
inline constexpr weights_tag kNoWeights = 0;

/// Whether a request may reach more than one upstream that runs it.
enum class repeat_rule : uint8_t {
  /// As the configuration says of its target.
  kByTarget,
  /// It may run any number of times.
  kRepeatable,
  /// It runs at most once; only an attempt that is known not to have run is
  /// placed again.
  kOnce,
};

/// A caller's request has been read whole and its credential checked.
struct request_arrived {
  request_id request = 0;
  std::string workspace;
  /// The model or service asked for.
  std::string target;
  /// Outermost level first.
  std::vector<prefix_level> levels;
  uint32_t prompt_tokens = 0;
  /// Empty when the request may be repeated.
  std::string idempotency_key;
  /// When the key was created, in Unix seconds.
  uint64_t key_issued = 0;
  /// The caller says that it has never sent this key before.
  bool is_first_attempt = false;
  /// Of what is the same when its caller sends it again; zero for not known.
  hash128 request_digest;
  /// How long the caller will wait for the first byte.
  duration time_limit{0};
  /// Until when a first byte is worth everything; 0 for not known.
  duration target_latency{0};
  /// After this long without a byte the caller leaves; 0 for not known.
  duration caller_idle_timeout{0};
  repeat_rule repeats = repeat_rule::kByTarget;
  /// Upstreams that may run it; 0 for no limit.
  uint32_t max_runs = 0;
  /// Who shares its cached prefixes; its workspace where this is empty.
  std::string cache_pool;
  /// In place of its workspace's.
  std::optional<priority_class> priority;
};

/// An upstream told its load along with an answer.
struct upstream_load {
  std::string upstream;
  uint32_t running = 0;
  uint32_t waiting = 0;
};

/// Prompt tokens that requests wait for at one upstream.
struct upstream_backlog {
  /// Hash of the upstream's name.
  uint64_t upstream = 0;
  uint32_t tokens = 0;
  friend bool operator==(const upstream_backlog&,
                         const upstream_backlog&) = default;
};

/// A shared prefix that was placed at an upstream, which has it from then on.
struct placed_prefix {
  uint64_t prefix = 0;
  /// Hash of the upstream's name.
  uint64_t upstream = 0;
  /// The upstream's incarnation for which it was placed.
  uint64_t incarnation = 0;
  /// Tag of the weights under which the upstream saves it to the cache store;
  /// `kNoWeights` where it does not.
  weights_tag saved_weights = kNoWeights;
};

/// A daemon's traffic of late, older requests counting less.
struct prompt_mix {
  double requests = 0;
  /// Of all prompts.
  double prompt_tokens = 0;
  /// Tokens that engines were to read for short and for long prompts.
  double short_prefill = 0;
  double long_prefill = 0;
  /// Seconds for which short prompts' answers held a slot of an engine.
  double short_held = 0;
  /// Over how many seconds all of this was counted.
  double seconds = 0;
  /// Whether engines are kept for short prompts, as this daemon sees it.
  bool reserves_engines = false;
};

/// What a daemon tells the others of its placements.
struct peer_placements {
  std::string peer;
  prompt_mix mix;
  std::vector<upstream_backlog> backlogs;
  /// Placed since it last told.
  std::vector<placed_prefix> prefixes;
};

/// Weights are being changed at an upstream, which runs nothing meanwhile.
struct upstream_changing {
  std::string upstream;
  bool is_changing = false;
};

/// The caller closed its connection.
struct caller_gone {
  request_id request = 0;
};

/// The first byte of an attempt's answer came from the upstream.
struct attempt_first_byte {
  attempt_id attempt = 0;
};

/// An attempt is over.
struct attempt_ended {
  attempt_id attempt = 0;
  outcome result = outcome::kUnknown;
  /// The upstream said that it is too busy, and did not run it.
  bool refused_busy = false;
  /// The upstream could not be reached at all.
  bool unreachable = false;
  /// The upstream ran it and answered with a failure of its own. That happens
  /// at sound upstreams too, so only their share counts against it.
  bool failed_in_run = false;
  /// The connection ended before the answer was whole, as it does where the
  /// upstream crashes.
  bool broke_off = false;
  /// Whether the caller has been sent any of this attempt's answer.
  bool answer_begun = false;
  /// Exact counts from the answer; 0 when it carried none.
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  /// The answer, where it is whole, short enough and may be asked for again.
  recorded_response answer;
};

/// A model that an engine has loaded.
struct loaded_model {
  std::string name;
  std::string version;
  /// Of the version; set by who takes the report in.
  weights_tag tag = kNoWeights;
};

/// The answer to a `probe_upstream`. Reports lag: `age` says by how much.
struct upstream_report {
  std::string upstream;
  bool reachable = false;
  /// Tells apart the caches that the upstream has had: its starts, and its
  /// weights where new ones discard the cache.
  uint64_t incarnation = 0;
  /// Tells apart its starts alone; 0 where that is not known.
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

/// Time has passed. Sent when the core's `NextWake()` is reached.
struct tick {};

/// The daemon is to stop gracefully.
struct stop_requested {};

using core_event = std::variant<request_arrived,
                                caller_gone,
                                attempt_first_byte,
                                attempt_ended,
                                upstream_report,
                                peer_received,
                                platform_reply,
                                tick,
                                stop_requested>;

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_CORE_EVENT_H_
