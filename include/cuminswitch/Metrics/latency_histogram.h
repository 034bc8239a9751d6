/// \file
/// A histogram of times, backed by Boost.Histogram.
#ifndef CUMINSWITCH_METRICS_LATENCY_HISTOGRAM_H_
#define CUMINSWITCH_METRICS_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

namespace cuminswitch {

/// Counts times from 10 microseconds to 100 seconds in bins that grow by a
/// fixed factor; what lies outside falls into the outermost bins.
class latency_histogram {
 public:
  /// A bin's upper bound in seconds and the count of it and all below.
  struct cumulative_bin {
    double upper_seconds = 0;
    uint64_t count = 0;
  };

  latency_histogram();
  latency_histogram(latency_histogram&&) noexcept;
  latency_histogram& operator=(latency_histogram&&) noexcept;
  ~latency_histogram();

  void Add(double seconds);
  void Merge(const latency_histogram& other);
  uint64_t Count() const { return count_; }
  double SumSeconds() const { return sum_; }
  /// Returns the bound below which \p share of the counts lie; 0 when empty.
  double Quantile(double share) const;
  /// Returns the bins, in order, with cumulative counts.
  std::vector<cumulative_bin> CumulativeBins() const;

 private:
  struct storage;

  std::unique_ptr<storage> storage_;
  uint64_t count_ = 0;
  double sum_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_METRICS_LATENCY_HISTOGRAM_H_
