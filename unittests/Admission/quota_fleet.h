/// \file
/// Many daemons that keep to quotas, in virtual time.
#ifndef CUMINSWITCH_UNITTESTS_ADMISSION_QUOTA_FLEET_H_
#define CUMINSWITCH_UNITTESTS_ADMISSION_QUOTA_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "cuminswitch/Admission/owner_quota_policy.h"
#include "cuminswitch/Admission/quota_policy.h"

namespace cuminswitch {

/// Which policy a fleet runs.
enum class quota_way { kOwner, kEven };

/// A fleet's daemons, the network between them, and the callers of one
/// workspace. Daemons learn who lives late, messages take time and get lost,
/// and whoever is refused comes back once when it was told to.
class quota_fleet {
 public:
  struct options {
    size_t daemons = 68;
    quota_way way = quota_way::kOwner;
    quota_fallback fallback = quota_fallback::kEvenShare;
    uint64_t seed = 1;
    /// How long after a change a daemon knows it; spread over the fleet.
    double detection_seconds = 2.2;
    double loss = 0;
    /// The daemons' clocks gain or lose up to this share.
    double clock_skew = 0;
  };
  struct load {
    /// Units a second that callers send, at a time.
    std::function<double(double)> rate;
    /// The daemons that callers use at a time, of so many in all.
    std::function<size_t(double, std::mt19937_64&)> choose;
    double mean_weight = 9'000;
    /// Requests weigh one each. A daemon that was turned away asks no more
    /// before its turn.
    bool by_turns = false;
    /// By turns, what comes meanwhile waits for the turn and does not go
    /// elsewhere.
    bool waits = false;
  };

  explicit quota_fleet(const options& opts);

  /// Sets what the daemons believe the limit to be, each up to \p spread
  /// seconds from now.
  void SetLimit(double rate, double burst, double spread);
  /// Splits the fleet: the first \p count daemons hear only each other.
  void Cut(size_t count);
  void Heal();
  /// Kills daemons; they are back, knowing nothing, \p down seconds later.
  void Kill(std::span<const size_t> daemons, double down);
  /// Stops a daemon gracefully: it takes requests for \p grace seconds more,
  /// and is back, knowing nothing, a second after that.
  void Stop(size_t index, double grace);
  /// Runs \p action at a time.
  void At(double when, std::function<void()> action);
  void Run(double seconds, const load& callers);

  /// The most that was admitted within any window, by daemons that had been up
  /// for \p least_up seconds.
  double MostWithin(double window, double least_up = 0) const;
  double admitted() const;
  /// Of the requests that were sent, those refused for good.
  double RefusedShare() const;
  /// Callers that kept to their Retry-After, and those refused again.
  size_t came_back() const { return came_back_; }
  size_t refused_again() const { return refused_again_; }
  size_t messages() const { return messages_; }
  size_t size() const { return daemons_.size(); }

 private:
  struct daemon {
    std::unique_ptr<quota_policy> policy;
    endpoint address;
    quota_limit limit;
    double clock_rate = 1;
    size_t side = 0;
    bool is_alive = true;
    bool is_leaving = false;
    /// It will hear of the latest changes.
    bool will_be_told = false;
    uint64_t starts = 0;
    double started_at = 0;
    /// Before this it asks nothing, where it asks by turns.
    double turn_at = 0;
    /// Requests that wait for the turn.
    size_t waiting = 0;
  };
  struct sent_request {
    size_t daemon = 0;
    double weight = 0;
    uint64_t digest = 0;
    double deadline = 0;
    bool is_repeat = false;
    bool by_turns = false;
    bool waits = false;
  };
  struct admission {
    double at = 0;
    double weight = 0;
    /// For how long its daemon had been up.
    double up = 0;
  };

  time_point ClockOf(const daemon& item) const;
  duration ConvergenceTime() const;
  void Start(size_t index);
  void TellFleet(size_t index);
  /// All learn of a change, each at its own time.
  void Announce();
  void Submit(const sent_request& request);
  /// A daemon was turned away, and its turn comes \p wait seconds from now.
  void AwaitTurn(const sent_request& request, double wait);
  void Settle(size_t index);
  void OnDecision(const quota_decision& decision);
  void Deliver(size_t from, const outgoing_quota_message& sent);
  bool Reaches(size_t from, size_t to) const;
  double Uniform(double low, double high);
  void ScheduleArrivals(const load& callers, double until);

  options options_;
  std::mt19937_64 random_;
  double now_ = 0;
  std::multimap<double, std::function<void()>> events_;
  std::vector<daemon> daemons_;
  std::map<endpoint, size_t> by_address_;
  std::map<uint64_t, sent_request> requests_;
  uint64_t next_ticket_ = 0;
  std::vector<admission> admissions_;
  size_t sent_ = 0;
  size_t refused_ = 0;
  size_t came_back_ = 0;
  size_t refused_again_ = 0;
  size_t messages_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UNITTESTS_ADMISSION_QUOTA_FLEET_H_
