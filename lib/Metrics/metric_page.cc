#include "cuminswitch/Metrics/metric_page.h"

#include <array>
#include <charconv>

#include "cuminswitch/Metrics/latency_histogram.h"

namespace cuminswitch {

static std::string FormatNumber(double value) {
  std::array<char, 32> text;
  const auto [end, error] =
      std::to_chars(text.data(), text.data() + text.size(), value);
  return {text.data(), end};
}

void metric_page::Begin(std::string_view name,
                        std::string_view type,
                        std::string_view help) {
  name_ = name;
  text_ += "# HELP " + name_ + " " + std::string(help) + "\n";
  text_ += "# TYPE " + name_ + " " + std::string(type) + "\n";
}

void metric_page::AddSample(std::string_view suffix,
                            std::string_view labels,
                            std::string_view value) {
  text_ += name_;
  text_ += suffix;
  if (!labels.empty()) {
    text_ += "{";
    text_ += labels;
    text_ += "}";
  }
  text_ += " ";
  text_ += value;
  text_ += "\n";
}

void metric_page::Add(double value, std::string_view labels) {
  AddSample("", labels, FormatNumber(value));
}

void metric_page::Add(const latency_histogram& histogram,
                      std::string_view labels) {
  const std::string prefix =
      labels.empty() ? std::string() : std::string(labels) + ",";
  uint64_t last = 0;
  for (const auto& bin : histogram.CumulativeBins()) {
    // Empty bins are omitted; cumulative counts stay correct without them.
    if (bin.count == last) {
      continue;
    }
    last = bin.count;
    AddSample("_bucket",
              prefix + "le=\"" + FormatNumber(bin.upper_seconds) + "\"",
              std::to_string(bin.count));
  }
  AddSample("_bucket", prefix + "le=\"+Inf\"",
            std::to_string(histogram.Count()));
  AddSample("_sum", labels, FormatNumber(histogram.SumSeconds()));
  AddSample("_count", labels, std::to_string(histogram.Count()));
}

}  // namespace cuminswitch
