#include "load_tool/workload.h"

#include <cmath>
#include <random>
#include <span>

#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {
namespace {

struct workspace_share {
  const char* name;
  /// Of all requests.
  double share;
  uint32_t contracts;
  bool batch;
};

constexpr workspace_share kSlovak[] = {
    {"tatry-wholesale", 0.30, 10, false}, {"danube-foods", 0.20, 8, false},
    {"orava-dairy", 0.10, 5, false},      {"spis-bakery", 0.10, 5, false},
    {"zemplin-meats", 0.08, 5, false},    {"liptov-produce", 0.08, 5, false},
    {"gemer-drinks", 0.07, 4, false},     {"overnight-checks", 0.07, 8, true}};
constexpr workspace_share kSneachta[] = {
    {"newsagents", 0.26, 10, false},
    {"forecourts", 0.20, 8, false},
    {"seaside-kiosks", 0.16, 6, false},
    {"drivers", 0.12, 3, false},
    {"depots", 0.08, 4, false},
    {"credit-notes", 0.06, 4, false},
    {"promotions", 0.05, 4, false},
    {"overnight-contracts", 0.07, 10, true}};

constexpr uint32_t kPreambleTokens = 320;
constexpr uint32_t kBytesPerToken = 4;
/// Share of requests that are short questions about a contract instead of
/// orders.
constexpr double kQuestionShare = 0.35;
/// Exponent of the Zipf distribution of contracts.
constexpr double kPopularityExponent = 1.1;

std::span<const workspace_share> SharesOf(const std::string& workload) {
  if (workload == "slovak") {
    return kSlovak;
  }
  if (workload == "sneachta") {
    return kSneachta;
  }
  throw usage_error("--workload must be slovak or sneachta");
}

/// Draws a contract from a Zipf distribution whose ranks are rotated by
/// \p shift.
uint32_t DrawContract(uint32_t contracts,
                      uint32_t shift,
                      std::mt19937_64& random) {
  std::vector<double> weights;
  for (uint32_t rank = 0; rank < contracts; ++rank) {
    weights.push_back(std::pow(rank + 1, -kPopularityExponent));
  }
  std::discrete_distribution<uint32_t> draw(weights.begin(), weights.end());
  return (draw(random) + shift) % contracts;
}

/// Returns the length of a contract, which is the same in every request.
uint32_t ContractTokens(const std::string& workspace, uint32_t contract) {
  constexpr uint32_t kShortest = 2500;
  constexpr uint32_t kSpread = 5000;
  return kShortest +
         static_cast<uint32_t>(Hash64(workspace, contract) % kSpread);
}

std::string FillText(const std::string& seed, size_t bytes) {
  std::string text = seed;
  while (text.size() < bytes) {
    text += " clause " +
            std::to_string(
                Hash64(text.substr(text.size() > 64 ? text.size() - 64 : 0)) %
                1'000'000);
  }
  text.resize(bytes);
  return text;
}

}  // namespace

workload_names NamesOf(const std::string& workload) {
  SharesOf(workload);
  if (workload == "slovak") {
    return {.model = "contract-reader", .service = "orders"};
  }
  return {.model = "reply", .service = "driver-orders"};
}

std::vector<trace_request> MakeTrace(const workload_options& opts) {
  std::mt19937_64 random(opts.seed);
  const auto shares = SharesOf(opts.name);
  std::vector<double> weights;
  for (const workspace_share& item : shares) {
    weights.push_back(item.share);
  }
  std::discrete_distribution<size_t> draw_workspace(weights.begin(),
                                                    weights.end());
  std::uniform_real_distribution<double> unit(0, 1);
  std::vector<trace_request> trace;
  double now = 0;
  while (true) {
    const double phase = 2 * M_PI * now / opts.seconds;
    const double rate = opts.rate * (1 + opts.swing * std::sin(phase));
    now += -std::log(1 - unit(random)) / rate;
    if (now >= opts.seconds) {
      return trace;
    }
    const workspace_share& owner = shares[draw_workspace(random)];
    const bool moved = opts.move_hot_at >= 0 && now >= opts.move_hot_at;
    trace_request item{.at = now,
                       .workspace = owner.name,
                       .order = random(),
                       .batch = owner.batch};
    item.contract =
        DrawContract(owner.contracts, moved ? owner.contracts / 2 : 0, random);
    item.shared_tokens =
        kPreambleTokens + ContractTokens(owner.name, item.contract);
    const bool question = unit(random) < kQuestionShare;
    item.prompt_tokens =
        item.shared_tokens + (question ? 30 : 120 + random() % 200);
    item.output_tokens = question ? 8 : 16 + random() % 24;
    item.once = unit(random) < opts.once_share;
    trace.push_back(std::move(item));
  }
}

prompt_text MakePrompt(const trace_request& request) {
  const std::string contract =
      request.workspace + " contract " + std::to_string(request.contract);
  const uint32_t contract_tokens = request.shared_tokens - kPreambleTokens;
  const uint32_t order_tokens = request.prompt_tokens - request.shared_tokens;
  return {
      .preamble = FillText("You check orders.",
                           size_t{kPreambleTokens} * kBytesPerToken),
      .contract = FillText(contract, size_t{contract_tokens} * kBytesPerToken),
      .order = FillText("order " + std::to_string(request.order),
                        size_t{order_tokens} * kBytesPerToken)};
}

}  // namespace cuminswitch
