/// \file
/// Writes metrics in the Prometheus text exposition format.
#ifndef CUMINSWITCH_METRICS_METRIC_PAGE_H_
#define CUMINSWITCH_METRICS_METRIC_PAGE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminswitch {

class latency_histogram;

/// Builds one page of metrics.
class metric_page {
 public:
  /// Begins a metric; the samples added next belong to it. \p type is
  /// `counter`, `gauge` or `histogram`.
  void Begin(std::string_view name,
             std::string_view type,
             std::string_view help);
  /// Adds a sample. \p labels is the text between the braces, for example
  /// `a="b"`.
  void Add(double value, std::string_view labels = {});
  void Add(const latency_histogram& histogram, std::string_view labels = {});

  /// Returns the page and leaves it empty.
  std::string Take() { return std::move(text_); }

 private:
  void AddSample(std::string_view suffix,
                 std::string_view labels,
                 std::string_view value);

  std::string name_;
  std::string text_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_METRICS_METRIC_PAGE_H_
