#include "cuminswitch/Metrics/latency_histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace cuminswitch {

static constexpr double kLowestSeconds = 1e-5;
static constexpr double kHighestSeconds = 1e2;
/// Seven decades with 16 bins each: the upper bound of a bin is 15% above its
/// lower bound.
static constexpr unsigned kBins = 7 * 16;

namespace bh = boost::histogram;
using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

struct latency_histogram::storage {
  decltype(bh::make_histogram(log_axis())) bins =
      bh::make_histogram(log_axis(kBins, kLowestSeconds, kHighestSeconds));
};

latency_histogram::latency_histogram()
    : storage_(std::make_unique<storage>()) {}
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept =
    default;
latency_histogram::~latency_histogram() = default;

void latency_histogram::Add(double seconds) {
  storage_->bins(std::clamp(seconds, kLowestSeconds, kHighestSeconds * 0.999));
  ++count_;
  sum_ += seconds;
}

void latency_histogram::Merge(const latency_histogram& other) {
  storage_->bins += other.storage_->bins;
  count_ += other.count_;
  sum_ += other.sum_;
}

std::vector<latency_histogram::cumulative_bin>
latency_histogram::CumulativeBins() const {
  std::vector<cumulative_bin> result;
  uint64_t total = 0;
  for (auto&& bin : bh::indexed(storage_->bins)) {
    total += static_cast<uint64_t>(*bin);
    result.push_back({.upper_seconds = bin.bin().upper(), .count = total});
  }
  return result;
}

double latency_histogram::Quantile(double share) const {
  const double wanted = share * static_cast<double>(count_);
  for (const cumulative_bin& bin : CumulativeBins()) {
    if (bin.count != 0 && static_cast<double>(bin.count) >= wanted) {
      return bin.upper_seconds;
    }
  }
  return 0;
}

}  // namespace cuminswitch
