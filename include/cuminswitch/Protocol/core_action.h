/// \file
/// The actions that the decision core returns for its caller to execute.
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
#include "cuminswitch/Protocol/stream_origin.h"
#include "cuminswitch/Support/outcome.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

struct configuration;

/// Sends a request to an upstream.
struct dispatch_attempt {
  request_id request = 0;
  attempt_id attempt = 0;
  std::string upstream;
  endpoint address;
  /// Fencing token, sent with the request. An upstream that checks it refuses
  /// a request with a token older than one it has seen.
  epoch_number fencing = 0;
  /// Hash of the cache pool (by default the workspace), the target, its adapter
  /// and the weights version. Engines share no cache between scopes.
  uint64_t cache_scope = 0;
  /// Use no pooled connection: if the upstream has closed it in the meantime,
  /// it would be unknown whether the request ran.
  bool fresh_connection = false;
  /// The upstream's last attempt failed. A new connection must be opened, since
  /// it shows whether the upstream is alive before anything is sent.
  bool after_failure = false;
  /// Weights version that the upstream last reported; empty for a service.
  std::string weights_version;
  /// Latest time at which the request may start on these weights; empty if they
  /// are not superseded.
  std::optional<time_point> last_start;
  /// Reserve a slot for this long first, and send the request only if one is
  /// granted; 0 to send it at once. In the upstream's queue it could begin too
  /// late on superseded weights, which this daemon cannot prevent once it
  /// fails.
  duration reservation{0};
  /// The upstream's software version; empty if unknown.
  std::string software_version;
  software_tag software = kAnySoftware;
  /// Another engine or a cache store that should have more of the prompt's
  /// prefixes cached; the upstream may copy them from there.
  std::optional<endpoint> cache_source;
  /// Cache store to which the upstream is to save the prefixes that it
  /// computes.
  std::optional<endpoint> cache_sink;
  /// Number of the request's earlier attempts.
  uint32_t earlier_attempts = 0;
  /// Retries for this target in the current window, and those allowed.
  uint32_t retries_used = 0;
  double retries_allowed = 0;
  /// Inputs of the placement decision, for the log: the prompt's tokens, those
  /// that are expected to be cached at the upstream, and the estimated wait in
  /// its queue (`expected_queue`).
  uint32_t prompt_tokens = 0;
  double expected_cached_tokens = 0;
  /// Where the shared prefix is to come from, or why it is computed again.
  std::string_view prefix_origin;
  duration expected_queue{0};
  /// Moving average of the time to first byte of requests to this target.
  duration mean_first_byte{0};
};

/// Stops an attempt; nothing more of its response goes to the caller.
struct cancel_attempt {
  attempt_id attempt = 0;
};

/// The request's final response, made by the daemon instead of an upstream.
struct local_response {
  request_id request = 0;
  outcome result = outcome::kNotRun;
  uint32_t status = 0;
  /// 0 if a retry is pointless.
  uint32_t retry_after_seconds = 0;
  /// The same with sub-second precision, for callers that understand it.
  duration retry_after{0};
  std::string message;
  /// The recorded response to the same key, if `result` is `kAnswered`.
  recorded_response recorded;
  /// The wait estimate behind a refusal because the response would be late.
  std::optional<expected_wait> wait;
  /// The quarantined part of the prompt for which it is refused.
  std::optional<hash128> quarantined_part;
};

struct send_peer {
  endpoint to;
  peer_message message;
};

/// Requests a load report from an upstream.
struct probe_upstream {
  std::string upstream;
  endpoint address;
};

/// This daemon has put a configuration into force.
struct configuration_adopted {
  generation_number generation = 0;
  std::shared_ptr<const configuration> config;
};

/// The members that are advertised to callers have changed.
struct members_changed {
  std::vector<member> members;
};

/// Every request has ended and the shards are released, or the time allowed
/// for their release is over: the daemon may exit.
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
