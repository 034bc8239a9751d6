#include "cuminswitch/Report/metric_sample.h"

#include <charconv>
#include <optional>

namespace cuminswitch {
namespace {

constexpr std::string_view kRequests = "cuminswitch_requests_total";
constexpr std::string_view kFirstToken = "cuminswitch_first_token_seconds";
constexpr std::string_view kBetweenTokens =
    "cuminswitch_between_tokens_seconds";

/// A parsed line `name{labels} value`.
struct sample_line {
  std::string_view name;
  std::string_view labels;
  double value = 0;
};

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<sample_line> ParseLine(std::string_view line) {
  const size_t open = line.find('{');
  const size_t close = line.rfind("} ");
  if (open == std::string_view::npos || close == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<double> value = ParseNumber(line.substr(close + 2));
  if (!value) {
    return std::nullopt;
  }
  return sample_line{.name = line.substr(0, open),
                     .labels = line.substr(open + 1, close - open - 1),
                     .value = *value};
}

std::string_view FindLabel(std::string_view labels, std::string_view name) {
  const std::string prefix = std::string(name) + "=\"";
  const size_t at = labels.find(prefix);
  if (at == std::string_view::npos) {
    return {};
  }
  const std::string_view rest = labels.substr(at + prefix.size());
  return rest.substr(0, rest.find('"'));
}

void AddRequests(const sample_line& line, workspace_sample& sample) {
  const std::string_view outcome = FindLabel(line.labels, "outcome");
  const auto count = static_cast<uint64_t>(line.value);
  if (outcome == "answered") {
    sample.answered += count;
  } else if (outcome == "not_run") {
    sample.not_run += count;
  } else {
    sample.unknown += count;
  }
}

void AddHistogramLine(std::string_view suffix,
                      const sample_line& line,
                      sampled_histogram& histogram) {
  const auto count = static_cast<uint64_t>(line.value);
  if (suffix == "_count") {
    histogram.count += count;
  } else if (suffix == "_bucket") {
    if (const auto bound = ParseNumber(FindLabel(line.labels, "le"))) {
      histogram.cumulative[*bound] = count;
    }
  }
}

/// Converts cumulative counts to the count of each bin.
std::map<double, uint64_t> ToBins(const sampled_histogram& histogram) {
  std::map<double, uint64_t> bins;
  uint64_t last = 0;
  for (const auto& [bound, count] : histogram.cumulative) {
    bins[bound] = count - last;
    last = count;
  }
  return bins;
}

/// Adds \p other to \p into bin by bin, since the pages of two daemons may omit
/// different bounds.
void Merge(const sampled_histogram& other, sampled_histogram& into) {
  std::map<double, uint64_t> bins = ToBins(into);
  for (const auto& [bound, count] : ToBins(other)) {
    bins[bound] += count;
  }
  into.cumulative.clear();
  uint64_t total = 0;
  for (const auto& [bound, count] : bins) {
    total += count;
    into.cumulative[bound] = total;
  }
  into.count += other.count;
}

}  // namespace

uint64_t sampled_histogram::CountWithin(double seconds) const {
  uint64_t within = 0;
  for (const auto& [bound, count_up_to] : cumulative) {
    if (bound > seconds) {
      break;
    }
    within = count_up_to;
  }
  return within;
}

void AddMetricsPage(std::string_view page, metric_sample& sample) {
  metric_sample page_sample;
  while (!page.empty()) {
    const size_t end = std::min(page.find('\n'), page.size());
    const std::optional<sample_line> line = ParseLine(page.substr(0, end));
    page.remove_prefix(std::min(end + 1, page.size()));
    if (!line) {
      continue;
    }
    const std::string_view name = FindLabel(line->labels, "workspace");
    if (name.empty()) {
      continue;
    }
    workspace_sample& workspace = page_sample[std::string(name)];
    if (line->name == kRequests) {
      AddRequests(*line, workspace);
    } else if (line->name.starts_with(kFirstToken)) {
      AddHistogramLine(line->name.substr(kFirstToken.size()), *line,
                       workspace.first_token);
    } else if (line->name.starts_with(kBetweenTokens)) {
      AddHistogramLine(line->name.substr(kBetweenTokens.size()), *line,
                       workspace.between_tokens);
    }
  }
  for (const auto& [name, workspace] : page_sample) {
    workspace_sample& total = sample[name];
    total.answered += workspace.answered;
    total.not_run += workspace.not_run;
    total.unknown += workspace.unknown;
    Merge(workspace.first_token, total.first_token);
    Merge(workspace.between_tokens, total.between_tokens);
  }
}

}  // namespace cuminswitch
