// Cost of single steps of the decision core at the deployment size of
// docs/CAPACITY.md.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Config/document.h"
#include "cuminswitch/Once/shard_journal.h"
#include "cuminswitch/Records/shard_record.h"
#include "cuminswitch/Routing/placement_query.h"
#include "cuminswitch/Routing/prefix_cost_policy.h"
#include "cuminswitch/Routing/prefix_index.h"
#include "cuminswitch/Support/digest.h"

namespace cuminswitch {
namespace {

constexpr size_t kWorkspaces = 8700;

void PlaceRequest(benchmark::State& state) {
  const auto replicas = static_cast<size_t>(state.range(0));
  const time_point now{std::chrono::seconds(100)};
  configuration config;
  config.models = {{.name = "m", .version = "1"}};
  for (size_t i = 0; i < replicas; ++i) {
    config.upstreams.push_back({.name = "u" + std::to_string(1000 + i),
                                .serves = {"m"},
                                .max_in_flight = 64});
  }
  replica_table table;
  table.Reconfigure(now, config);
  for (const upstream_spec& spec : config.upstreams) {
    table.OnReport(now, {.upstream = spec.name,
                         .reachable = true,
                         .incarnation = 1,
                         .models = {{.name = "m", .version = "1"}}});
  }
  prefix_index prefixes({.capacity = 131'072});
  prefix_cost_policy policy;
  uint64_t contract = 0;
  for (auto _ : state) {
    contract = (contract + 1) % 1000;
    const std::vector<prefix_level> levels = {
        {.hash = 1, .tokens = 300},
        {.hash = 100 + contract, .tokens = 5000},
        {.hash = 100'000 + contract, .tokens = 5200}};
    const eligible_replicas eligible = table.ListEligible(now, "m", {}, {});
    const placement chosen =
        policy.Choose({.now = now,
                       .levels = levels,
                       .prompt_tokens = 5200,
                       .eligible = eligible.indices,
                       .has_free_slot = eligible.has_free_slot,
                       .replicas = table,
                       .prefixes = prefixes,
                       .reuse_weight = 3});
    for (const prefix_level& level : levels) {
      prefixes.Touch(level.hash, {.index = chosen.index, .used_at = now});
    }
    benchmark::DoNotOptimize(chosen);
  }
}
BENCHMARK(PlaceRequest)->Arg(12)->Arg(100)->Arg(600);

configuration MakeLargeConfiguration() {
  configuration config;
  config.platform.name = "large";
  config.models = {{.name = "m", .version = "1"}};
  for (size_t i = 0; i < kWorkspaces; ++i) {
    const std::string name = "workspace-" + std::to_string(10'000 + i);
    config.workspaces.push_back(
        {.name = name, .credential_sha256 = Sha256Hex(name), .uses = {"m"}});
  }
  return config;
}

void ParseWholeDocument(benchmark::State& state) {
  const std::string text = WriteDocument(MakeLargeConfiguration());
  for (auto _ : state) {
    benchmark::DoNotOptimize(ParseDocument(text, "large"));
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ParseWholeDocument)->Unit(benchmark::kMillisecond);

/// Work of a daemon when one workspace changes: parsing one chunk and merging
/// all fragments.
void AdoptOneChangedChunk(benchmark::State& state) {
  const std::vector<std::string> chunks = WriteChunks(MakeLargeConfiguration());
  std::vector<configuration> fragments;
  fragments.reserve(chunks.size());
  for (const std::string& chunk : chunks) {
    fragments.push_back(ParseFragment(chunk, "chunk"));
  }
  std::vector<const configuration*> pointers;
  pointers.reserve(fragments.size());
  for (const configuration& fragment : fragments) {
    pointers.push_back(&fragment);
  }
  for (auto _ : state) {
    fragments[1] = ParseFragment(chunks[1], "chunk");
    benchmark::DoNotOptimize(MergeFragments(pointers));
  }
  state.counters["chunk_bytes"] = static_cast<double>(chunks[1].size());
}
BENCHMARK(AdoptOneChangedChunk)->Unit(benchmark::kMillisecond);

void EncodeShardRecord(benchmark::State& state) {
  shard_record record{.epoch = 1, .owner_host = "h"};
  for (uint64_t i = 0; i < static_cast<uint64_t>(state.range(0)); ++i) {
    record.entries.push_back({.key = {i, i}, .issued = i});
  }
  size_t size = 0;
  for (auto _ : state) {
    size = EncodeShardRecord(record).size();
  }
  state.counters["bytes"] = static_cast<double>(size);
}
BENCHMARK(EncodeShardRecord)->Arg(100)->Arg(1000)->Arg(20'000);

}  // namespace
}  // namespace cuminswitch
