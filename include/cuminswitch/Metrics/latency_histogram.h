/// \file
/// A histogram of latencies, backed by Boost.Histogram.
#ifndef CUMINSWITCH_METRICS_LATENCY_HISTOGRAM_H_
#define CUMINSWITCH_METRICS_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

namespace cuminswitch {

/// Counts latencies from 10 microseconds to 100 seconds in bins whose width
/// grows by a constant factor. Values outside the range count in the first or
/// the last bin.
class latency_histogram {
 public:
  /// The upper bound of a bin, and the count of it and all bins below it.
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
  /// Returns the upper bound in seconds of the bin that holds the quantile
  /// \p share, which is in (0, 1]; 0 when the histogram is empty.
  double Quantile(double share) const;
  /// Returns all bins with cumulative counts, in ascending order.
  std::vector<cumulative_bin> CumulativeBins() const;

 private:
  struct storage;

  std::unique_ptr<storage> storage_;
  uint64_t count_ = 0;
  double sum_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_METRICS_LATENCY_HISTOGRAM_H_
