#include "cuminswitch/Report/burn_report.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cuminswitch/Config/configuration.h"

namespace cuminswitch {
namespace {

/// Fraction of events that may miss a latency objective: the objectives are
/// 95th percentiles.
constexpr double kLatencyErrorBudget = 0.05;
constexpr double kMillisPerSecond = 1000;
constexpr double kPartsPerMillion = 1e6;

/// Good and total events of one sample by objective.
struct event_counts {
  uint64_t first_token_good = 0;
  uint64_t first_token_total = 0;
  uint64_t between_tokens_good = 0;
  uint64_t between_tokens_total = 0;
  uint64_t answered = 0;
  uint64_t requests = 0;
};

event_counts CountEvents(const platform_spec& objectives,
                         const workspace_sample& sample) {
  return {.first_token_good = sample.first_token.CountWithin(
              objectives.first_token_target_ms / kMillisPerSecond),
          .first_token_total = sample.first_token.count,
          .between_tokens_good = sample.between_tokens.CountWithin(
              objectives.between_tokens_target_ms / kMillisPerSecond),
          .between_tokens_total = sample.between_tokens.count,
          .answered = sample.answered,
          .requests = sample.answered + sample.not_run + sample.unknown};
}

/// Returns the events between two counts, 0 if the count decreased: a daemon
/// that restarted counts from zero again.
uint64_t Difference(uint64_t end, uint64_t begin) {
  return end > begin ? end - begin : 0;
}

event_counts Subtract(const event_counts& end, const event_counts& begin) {
  return {.first_token_good =
              Difference(end.first_token_good, begin.first_token_good),
          .first_token_total =
              Difference(end.first_token_total, begin.first_token_total),
          .between_tokens_good =
              Difference(end.between_tokens_good, begin.between_tokens_good),
          .between_tokens_total =
              Difference(end.between_tokens_total, begin.between_tokens_total),
          .answered = Difference(end.answered, begin.answered),
          .requests = Difference(end.requests, begin.requests)};
}

void Add(const event_counts& other, event_counts& into) {
  into.first_token_good += other.first_token_good;
  into.first_token_total += other.first_token_total;
  into.between_tokens_good += other.between_tokens_good;
  into.between_tokens_total += other.between_tokens_total;
  into.answered += other.answered;
  into.requests += other.requests;
}

burn_rate MakeRate(uint64_t good, uint64_t total, double error_budget) {
  burn_rate rate{.good = good, .total = total};
  if (total != 0) {
    const double bad = static_cast<double>(Difference(total, good));
    rate.burn = bad / static_cast<double>(total) / error_budget;
  }
  return rate;
}

objective_burn MakeBurn(const platform_spec& objectives,
                        const event_counts& counts) {
  const double answered_error_budget =
      1 - objectives.answered_target_ppm / kPartsPerMillion;
  return {
      .first_token = MakeRate(counts.first_token_good, counts.first_token_total,
                              kLatencyErrorBudget),
      .between_tokens =
          MakeRate(counts.between_tokens_good, counts.between_tokens_total,
                   kLatencyErrorBudget),
      .answered =
          MakeRate(counts.answered, counts.requests, answered_error_budget)};
}

nlohmann::json ToJson(const burn_rate& rate) {
  return {{"good", rate.good}, {"total", rate.total}, {"burn", rate.burn}};
}

nlohmann::json ToJson(const objective_burn& burn) {
  return {{"first_token", ToJson(burn.first_token)},
          {"between_tokens", ToJson(burn.between_tokens)},
          {"answered", ToJson(burn.answered)}};
}

void WriteRate(const burn_rate& rate, std::ostream& out) {
  out << std::setw(9) << rate.total << std::setw(8) << rate.burn;
}

void WriteWindow(std::string_view name,
                 const objective_burn& burn,
                 std::ostream& out) {
  out << std::left << std::setw(7) << name << std::right;
  WriteRate(burn.first_token, out);
  WriteRate(burn.between_tokens, out);
  WriteRate(burn.answered, out);
  out << "\n";
}

}  // namespace

std::vector<workspace_burn> ComputeBurn(const platform_spec& objectives,
                                        const metric_sample& begin,
                                        const metric_sample& end) {
  std::vector<workspace_burn> rows(1);
  event_counts all_short;
  event_counts all_long;
  for (const auto& [name, sample] : end) {
    const event_counts whole = CountEvents(objectives, sample);
    const auto found = begin.find(name);
    const event_counts before = found == begin.end()
                                    ? event_counts()
                                    : CountEvents(objectives, found->second);
    const event_counts recent = Subtract(whole, before);
    rows.push_back({.workspace = name,
                    .short_window = MakeBurn(objectives, recent),
                    .long_window = MakeBurn(objectives, whole)});
    Add(recent, all_short);
    Add(whole, all_long);
  }
  rows.front().short_window = MakeBurn(objectives, all_short);
  rows.front().long_window = MakeBurn(objectives, all_long);
  return rows;
}

std::string WriteBurnText(const std::vector<workspace_burn>& rows) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  out << std::left << std::setw(24) << "workspace" << std::setw(7) << "window"
      << std::right << std::setw(9) << "first" << std::setw(8) << "burn"
      << std::setw(9) << "tokens" << std::setw(8) << "burn" << std::setw(9)
      << "requests" << std::setw(8) << "burn"
      << "\n";
  for (const workspace_burn& row : rows) {
    const std::string name =
        row.workspace.empty() ? "(platform)" : row.workspace;
    out << std::left << std::setw(24) << name;
    WriteWindow("short", row.short_window, out);
    out << std::setw(24) << "";
    WriteWindow("long", row.long_window, out);
  }
  return out.str();
}

std::string WriteBurnJson(const std::vector<workspace_burn>& rows) {
  nlohmann::json json = nlohmann::json::array();
  for (const workspace_burn& row : rows) {
    json.push_back({{"workspace", row.workspace},
                    {"short", ToJson(row.short_window)},
                    {"long", ToJson(row.long_window)}});
  }
  return json.dump(2) + "\n";
}

}  // namespace cuminswitch
