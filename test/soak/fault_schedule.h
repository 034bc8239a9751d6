/// \file
/// What is done to a deployment, and when, from a seed.
#ifndef CUMINSWITCH_TEST_SOAK_FAULT_SCHEDULE_H_
#define CUMINSWITCH_TEST_SOAK_FAULT_SCHEDULE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <random>
#include <string>
#include <vector>

#include "cuminswitch/Net/loop_timer.h"
#include "soak/deployment.h"

namespace cuminswitch::soak {

/// What a schedule is about.
enum class soak_subject : uint8_t {
  /// Everything.
  kAll,
  /// Limits that upstreams name, while daemons and the store are harmed. Links
  /// and upstreams are left alone: they would hold requests up and let them go
  /// at once.
  kLimits,
  /// Requests that crash upstreams; harmed as with limits.
  kCrashes,
  /// Rest that upstreams ask for, and that they leave; harmed as with limits.
  kNotices,
  /// Upstreams that depart while the store is lost for one daemon or for all,
  /// and daemons end; faults are further apart, so that some are in touch.
  kDepartures,
};

/// Does one thing after another, each to a part chosen by the seed. Most of
/// them last a while and overlap with those that follow.
class fault_schedule {
 public:
  fault_schedule(event_base* base,
                 uint64_t seed,
                 soak_subject subject,
                 deployment& target);

  /// Begins to harm.
  void Start();
  /// Does nothing new, and ends all that still lasts.
  void Stop();
  /// Whether the second credential is in force without doubt.
  bool MayUseSecondCredential() const { return may_use_second_; }

 private:
  using action = std::function<void()>;

  void DoNext();
  /// Runs \p end after a random time between \p least and \p most, or at
  /// `Stop`.
  void EndLater(int least_ms, int most_ms, action end);
  size_t Pick(size_t count) { return random_() % count; }
  void Note(const std::string& what) const;

  void KillDaemon();
  void StopDaemon();
  void PauseDaemon();
  void ReloadDaemon();
  void HarmStoreLink();
  void HarmUpstreamLink();
  void KillUpstream();
  void PauseUpstream();
  void DrainUpstream();
  void HarmStore();
  void PauseStore();
  void ChangeConfiguration();
  void NameWeights();
  void NameLimit();
  void AskForRest();
  void SayLeaving();
  void KillAllDaemons();
  /// An upstream departs, as long as some of its kind stay.
  void Depart(departure how);
  void DepartAnyhow();
  /// The store is lost for longer than entries last; upstreams depart while it
  /// is, and soon after.
  void LoseStore();
  /// A daemon loses the store for a moment.
  void LoseStoreBriefly();

  struct lasting {
    std::unique_ptr<loop_timer> timer;
    action end;
    bool is_over = false;
  };

  event_base* base_;
  std::mt19937_64 random_;
  soak_subject subject_;
  deployment& target_;
  loop_timer timer_;
  std::list<lasting> lasting_;
  bool is_stopped_ = false;
  bool has_second_ = true;
  bool may_use_second_ = true;
  bool is_store_harmed_ = false;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_FAULT_SCHEDULE_H_
