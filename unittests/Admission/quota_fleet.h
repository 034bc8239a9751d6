/// \file
/// Simulates a fleet of daemons that enforce a quota, in virtual time.
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

/// The policy that a fleet runs.
enum class quota_mode { kOwner, kEven };

/// A fleet's daemons, the network between them, and the callers of one
/// workspace. Daemons learn late which others are alive, messages are delayed
/// or lost, and a refused caller returns once, after its Retry-After.
class quota_fleet {
 public:
  struct options {
    size_t daemons = 68;
    quota_mode mode = quota_mode::kOwner;
    quota_fallback fallback = quota_fallback::kEvenShare;
    uint64_t seed = 1;
    /// Longest time until a daemon sees a change of the fleet.
    double detection_seconds = 2.2;
    /// Share of messages that are lost.
    double loss = 0;
    /// Largest relative error of the daemons' clocks.
    double clock_skew = 0;
  };
  struct load {
    /// Units per second that callers send, by the time in seconds.
    std::function<double(double)> rate;
    /// Returns the daemon that receives a request at a time in seconds.
    std::function<size_t(double, std::mt19937_64&)> choose;
    /// Mean units of a request.
    double mean_weight = 9'000;
    /// Whether daemons use send slots, as for an upstream's limit: each request
    /// weighs one unit, and a refused daemon asks for none until its next slot.
    bool uses_send_slots = false;
    /// With send slots, whether requests that arrive before the slot wait for
    /// it instead of going to another upstream.
    bool waits = false;
  };

  explicit quota_fleet(const options& opts);

  /// Sets the limit in units per second; each daemon applies it within
  /// \p spread seconds.
  void SetLimit(double rate, double burst, double spread);
  /// Partitions the network: the first \p count daemons reach only each other.
  void Partition(size_t count);
  /// Ends the network partition.
  void Heal();
  /// Kills daemons; they restart without state \p down seconds later.
  void Kill(std::span<const size_t> daemons, double down);
  /// Stops a daemon gracefully: it serves requests for \p grace more seconds,
  /// and restarts without state a second after that.
  void Stop(size_t index, double grace);
  /// Runs \p action at the time \p when, in seconds.
  void At(double when, std::function<void()> action);
  void Run(double seconds, const load& callers);

  /// Returns the most units admitted within any \p window seconds by daemons
  /// that had been up for \p least_up seconds.
  double MostWithin(double window, double least_up = 0) const;
  /// Returns all units admitted.
  double admitted() const;
  /// Returns the share of requests that were finally refused.
  double RefusedShare() const;
  /// Callers that returned after their Retry-After, and those refused again.
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
    /// Side of the network partition.
    size_t side = 0;
    bool is_alive = true;
    bool is_leaving = false;
    /// Whether an update of its fleet view is scheduled.
    bool has_update_scheduled = false;
    uint64_t start_count = 0;
    double started_at = 0;
    /// Time of its next send slot.
    double next_slot_at = 0;
    /// Number of requests that wait for the send slot.
    size_t waiting = 0;
  };
  struct sent_request {
    size_t daemon = 0;
    double weight = 0;
    uint64_t digest = 0;
    double deadline = 0;
    bool is_repeat = false;
    bool uses_send_slots = false;
    bool waits = false;
  };
  struct admission {
    double at = 0;
    double weight = 0;
    /// Uptime of the daemon, in seconds.
    double uptime = 0;
  };

  /// Returns the time by the daemon's own clock.
  time_point LocalTime(const daemon& item) const;
  duration ConvergenceTime() const;
  void Start(size_t index);
  /// Updates a daemon's view of the fleet.
  void UpdateFleetView(size_t index);
  /// Schedules an update of each daemon's view, each at a time of its own.
  void ScheduleFleetViewUpdates();
  void Submit(const sent_request& request);
  /// Sets the daemon's next send slot to \p wait seconds from now.
  void WaitForSendSlot(const sent_request& request, double wait);
  /// Delivers the messages and decisions that a daemon's policy has made.
  void ProcessOutput(size_t index);
  void OnDecision(const quota_decision& decision);
  void Deliver(size_t from, const outgoing_quota_message& sent);
  bool Reaches(size_t from, size_t to) const;
  double Uniform(double low, double high);
  void ScheduleArrivals(const load& callers, double until);

  options options_;
  std::mt19937_64 random_;
  /// Virtual time in seconds.
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
