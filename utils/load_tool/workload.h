/// \file
/// Generates the traffic of two deployments: nested prefixes (a preamble, a
/// contract, an order), a few very popular contracts, short questions between
/// the orders, overnight batch checks, and at-most-once orders.
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
  /// Index of the contract within the workspace.
  uint32_t contract = 0;
  /// Tokens of the preamble and the contract together.
  uint32_t shared_tokens = 0;
  /// Tokens of the whole prompt.
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;
  /// Identifies the order; determines its text.
  uint64_t order = 0;
  /// At-most-once order, sent to a service instead of an engine.
  bool once = false;
  bool batch = false;
};

struct workload_options {
  /// `slovak` or `sneachta`.
  std::string name = "slovak";
  /// Mean requests per second.
  double rate = 100;
  double seconds = 20;
  uint64_t seed = 1;
  /// Second at which other contracts become popular; negative for never.
  double move_hot_at = -1;
  /// Relative amplitude of one sine period of the rate over the run, like the
  /// peak before the market opens.
  double swing = 0.3;
  /// Share of at-most-once orders.
  double once_share = 0.02;
};

struct workload_names {
  std::string model;
  std::string service;
};

/// Returns the model and the service that the workload's deployment serves.
/// Throws `usage_error` for an unknown workload.
workload_names NamesOf(const std::string& workload);

/// Draws the trace, ordered by time.
std::vector<trace_request> MakeTrace(const workload_options& opts);

/// Text of the request's messages; equal prefixes give equal texts.
struct prompt_text {
  std::string preamble;
  std::string contract;
  std::string order;
};
prompt_text MakePrompt(const trace_request& request);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_LOAD_TOOL_WORKLOAD_H_
