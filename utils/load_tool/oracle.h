/// \file
/// Upper reference for the hit rate: a router that knows the contents of every
/// cache at every moment, on the same trace.
#ifndef CUMINSWITCH_UTILS_LOAD_TOOL_ORACLE_H_
#define CUMINSWITCH_UTILS_LOAD_TOOL_ORACLE_H_

#include <cstddef>
#include <vector>

#include "StandIn/prefix_cache.h"
#include "load_tool/workload.h"

namespace cuminswitch {

/// Replays the trace over \p replicas caches. Each request goes to the cache
/// that holds the longest prefix of it, and to the least recently used one
/// among equals. Load is not considered. Returns the share of prompt tokens
/// that were cached, over the requests after \p warmup seconds.
double ReplayOracle(const std::vector<trace_request>& trace,
                    size_t replicas,
                    const prefix_cache::options& cache,
                    double warmup);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UTILS_LOAD_TOOL_ORACLE_H_
