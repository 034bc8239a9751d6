// What a router that could look into every cache at every moment would get on
// the same trace.
#ifndef CUMINSWITCH_UTILS_LOAD_TOOL_ORACLE_H_
#define CUMINSWITCH_UTILS_LOAD_TOOL_ORACLE_H_

#include <cstddef>
#include <vector>

#include "StandIn/prefix_cache.h"
#include "load_tool/workload.h"

namespace cuminswitch {

/// Replays the trace over \p replicas caches: each request goes where most of
/// it is cached, and one that is cached nowhere to the cache that was used
/// least recently. Load does not matter to it. Returns the share of prompt
/// tokens that were cached, over the requests after \p warmup seconds.
double ReplayOracle(const std::vector<trace_request>& trace,
                    size_t replicas,
                    const prefix_cache::options& cache,
                    double warmup);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_LOAD_TOOL_ORACLE_H_
