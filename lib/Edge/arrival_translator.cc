#include "cuminswitch/Edge/arrival_translator.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cuminswitch/Edge/routing_config_translator.h"
#include "cuminswitch/Protocol/crash_report.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Chooses among a route's services by weight; the choice depends only on
/// \p attempt.
static const std::string& ChooseService(const route_spec& route,
                                        std::string_view attempt) {
  uint64_t total = 0;
  for (const route_share& share : route.shares) {
    total += share.weight;
  }
  uint64_t point = total == 0 ? 0 : Hash64(attempt) % total;
  for (const route_share& share : route.shares) {
    if (point < share.weight) {
      return share.service;
    }
    point -= share.weight;
  }
  return route.shares.front().service;
}

const std::string& ServiceFor(const route_spec& route,
                              const caller_request& request) {
  // All attempts at one stream go to the same service.
  return ChooseService(route, request.resumed_attempt.empty()
                                  ? request.attempt
                                  : request.resumed_attempt);
}

/// Returns the prompt's prefix levels; each is the prompt up to the end of one
/// part.
static std::vector<prefix_level> MakeLevels(
    const std::vector<prompt_part>& parts) {
  std::vector<prefix_level> levels;
  uint64_t hash = 0;
  uint32_t tokens = 0;
  for (const prompt_part& part : parts) {
    hash = CombineHash(hash, Hash64(part.id));
    tokens += part.tokens;
    levels.push_back({.hash = hash, .tokens = tokens});
  }
  return levels;
}

hash128 DigestRequest(const caller_exchange& exchange,
                      std::string_view workspace) {
  const message_head& head = exchange.Head();
  uint64_t seed = Hash64(workspace);
  for (const std::string_view part :
       {std::string_view(head.method), head.Find("Host"),
        std::string_view(head.target)}) {
    seed = Hash64(part, seed);
  }
  return ToRequestDigest(Hash128(exchange.Body(), seed));
}

std::vector<hash128> DigestParts(std::span<const prompt_part> parts,
                                 std::string_view service) {
  std::vector<hash128> digests;
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    digests.push_back(DigestPart(service, parts[i].id));
  }
  return digests;
}

std::string TargetOf(const routing_config& config,
                     std::string_view service,
                     std::string_view model) {
  const service_config* found = config.FindService(service);
  const bool is_engine = found != nullptr && found->is_engine;
  return TargetName(service, is_engine ? model : std::string_view());
}

request_arrived DescribeArrival(const request_flow::options& flow) {
  const route_spec& route = *flow.route;
  return {.request = flow.id,
          .workspace = flow.workspace,
          .target = TargetOf(*flow.config, flow.service, flow.request.model),
          .levels = MakeLevels(flow.request.parts),
          .prompt_tokens = flow.request.prompt_tokens,
          .request_digest = flow.digest,
          .part_digests = flow.part_digests,
          .time_limit = flow.deadline - flow.arrived,
          .target_latency = route.target_latency,
          .caller_idle_timeout = route.caller_idle_timeout,
          .repeats =
              route.MayRepeat() ? repeat_rule::kRepeatable : repeat_rule::kOnce,
          .max_runs = route.max_attempts,
          .priority = TranslateRank(flow.rank)};
}

quota_admission::admission_query DescribeQuotaQuery(time_point now,
                                                    const request_flow& flow,
                                                    const quota_config& quota,
                                                    request_arrived arrival) {
  const caller_request& request = flow.request();
  // The attempt's identifier is left out, since it is new with each retry of
  // the caller.
  uint64_t digest = Hash64(request.path, Hash64(request.credential));
  for (const prefix_level& level : arrival.levels) {
    digest = CombineHash(digest, level.hash);
  }
  return {.arrival = std::move(arrival),
          .quota = quota,
          .version = flow.config().version,
          .tokens = uint64_t{request.prompt_tokens} + request.max_output_tokens,
          .digest = digest,
          .time_left = flow.deadline() - now};
}

}  // namespace cuminswitch
