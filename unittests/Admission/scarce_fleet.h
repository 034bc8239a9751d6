/// \file
/// Simulates daemons that share overloaded engines, in virtual time.
#ifndef CUMINSWITCH_UNITTESTS_ADMISSION_SCARCE_FLEET_H_
#define CUMINSWITCH_UNITTESTS_ADMISSION_SCARCE_FLEET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <vector>

#include "cuminswitch/Admission/class_pressure.h"

namespace cuminswitch {

/// Which decisions the daemons make.
enum class scarce_mode { kByOwnTarget, kByUrgency };

/// Each engine does one second of work per second, urgent requests first. Half
/// of the offered work is urgent (0.1 s each, target 0.5 s); the rest takes
/// 0.03 s each with a target of 1.5 s.
class scarce_fleet {
 public:
  struct options {
    size_t daemons = 72;
    size_t engines = 20;
    scarce_mode mode = scarce_mode::kByUrgency;
    /// Share of the peers' reports that are lost.
    double loss = 0;
  };
  struct counts {
    double offered = 0;
    double in_time = 0;
    double refused = 0;
    double Share() const { return in_time / offered; }
  };

  explicit scarce_fleet(const options& opts);
  /// Offers \p load, a multiple of the engines' capacity, for \p seconds.
  /// Counts the work of the requests that arrived meanwhile, by class.
  std::array<counts, 2> Run(double load, double seconds);
  /// Removes all but the first \p count daemons.
  void KeepDaemons(size_t count);

 private:
  struct job {
    time_point arrived{};
    size_t daemon = 0;
    size_t class_index = 0;
  };
  struct engine {
    std::array<std::deque<job>, 2> waiting;
    double done = 0;
    /// What the daemons have last reported to wait here.
    double reported = 0;
  };
  struct daemon {
    class_pressure pressure;
    /// Work that it sent to each engine and that waits there, now and as of its
    /// last report.
    std::vector<double> waiting;
    std::vector<double> reported;
  };

  double ExpectQueue(const daemon& from, size_t engine) const;
  double RefusalChanceOf(daemon& from, size_t class_index, double queue);
  void Offer(size_t class_index);
  void Work(size_t index);
  void Report(size_t from);

  options options_;
  std::vector<daemon> daemons_;
  std::vector<engine> engines_;
  std::array<counts, 2> counts_{};
  time_point now_{};
  std::mt19937_64 random_{1};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UNITTESTS_ADMISSION_SCARCE_FLEET_H_
