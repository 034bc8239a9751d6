#include "load_tool/oracle.h"

#include <algorithm>
#include <chrono>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

double ReplayOracle(const std::vector<trace_request>& trace,
                    size_t replicas,
                    const prefix_cache::options& cache,
                    double warmup) {
  struct oracle_replica {
    prefix_cache cache;
    prefix_cache::clock::time_point used;
  };
  std::vector<oracle_replica> all(replicas, {prefix_cache(cache), {}});
  double prompt = 0;
  double cached = 0;
  for (const trace_request& request : trace) {
    if (request.once) {
      continue;
    }
    const prefix_cache::clock::time_point now{
        std::chrono::duration_cast<prefix_cache::clock::duration>(
            std::chrono::duration<double>(1 + request.at))};
    const prompt_text text = MakePrompt(request);
    const std::vector<uint64_t> blocks = prefix_cache::HashBlocks(
        text.preamble + text.contract + text.order, Hash64(request.workspace));
    oracle_replica* best = nullptr;
    size_t most = 0;
    for (oracle_replica& item : all) {
      const size_t count = item.cache.CountCached(blocks, now);
      if (best == nullptr || count > most ||
          (count == most && item.used < best->used)) {
        best = &item;
        most = count;
      }
    }
    best->cache.Store(blocks, now);
    best->used = now;
    if (request.at < warmup) {
      continue;
    }
    prompt += request.prompt_tokens;
    cached += static_cast<double>(most) * prefix_cache::kTokensPerBlock;
  }
  return prompt == 0 ? 0 : cached / prompt;
}

}  // namespace cuminswitch
