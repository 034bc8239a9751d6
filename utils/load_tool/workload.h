// The traffic of the two deployments: nested prefixes (a preamble, a contract,
// an order), a few very hot contracts, short questions between the orders,
// overnight checks, and orders that may not be repeated.
#ifndef CUMINSWITCH_UTILS_LOAD_TOOL_WORKLOAD_H_
#define CUMINSWITCH_UTILS_LOAD_TOOL_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

namespace cuminswitch {

/// One request of the trace.
struct trace_request {
  /// Seconds after the start.
  double at = 0;
  std::string workspace;
  /// Which contract of the workspace.
  uint32_t contract = 0;
  /// Tokens of the preamble and the contract, and of the whole prompt.
  uint32_t shared_tokens = 0;
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;
  uint64_t order = 0;
  /// An order that may not be repeated, sent to a plain service.
  bool once = false;
  bool batch = false;
};

struct workload_options {
  /// `slovak` or `sneachta`.
  std::string name = "slovak";
  double rate = 100;
  double seconds = 20;
  uint64_t seed = 1;
  /// When the hot contracts change places; negative for never.
  double move_hot_at = -1;
  /// Rate swings by this share over the run, like a peak before the market.
  double swing = 0.3;
  double once_share = 0.02;
};

struct workload_names {
  std::string model;
  std::string service;
};

/// Throws `usage_error` for an unknown name.
workload_names NamesOf(const std::string& workload);

/// Draws the trace, in order of time.
std::vector<trace_request> MakeTrace(const workload_options& opts);

/// The text of the request's messages; equal prefixes give equal texts.
struct prompt_text {
  std::string preamble;
  std::string contract;
  std::string order;
};
prompt_text MakePrompt(const trace_request& request);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_LOAD_TOOL_WORKLOAD_H_
