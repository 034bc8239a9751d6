/// \file
/// Simulates a fleet of daemons that share the slots of fragile upstreams.
#ifndef CUMINSWITCH_UNITTESTS_ADMISSION_CONCURRENCY_FLEET_H_
#define CUMINSWITCH_UNITTESTS_ADMISSION_CONCURRENCY_FLEET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "StandIn/fragile_upstream.h"
#include "cuminswitch/Admission/concurrency_permits.h"

namespace cuminswitch {

/// Daemons in virtual time that receive requests at random, each of which may
/// go to any upstream. All upstreams announce from the start that they are
/// fragile; the daemons know it from the start too, as from the store.
class concurrency_fleet {
 public:
  struct options {
    size_t daemons = 4;
    size_t upstreams = 3;
    fragile_upstream::options upstream;
    uint32_t rejection_limit = 2;
    /// Requests per second, in multiples of what all upstreams can execute.
    double load = 1.1;
    duration deadline = std::chrono::milliseconds(600);
    /// Mean time of a message from one process to another.
    duration latency = std::chrono::milliseconds(1);
    uint64_t seed = 1;
  };

  explicit concurrency_fleet(const options& opts);

  void Run(duration time);
  /// Adds requests that all arrive now, spread over the daemons.
  void AddHerd(size_t requests);
  void SetQueueSize(uint32_t size);
  /// Kills \p daemon; its requests at the upstreams end with it.
  void Kill(size_t daemon);
  /// Starts \p daemon again without any state.
  void Restart(size_t daemon);
  /// Begins to shut \p daemon down: the others are told at once, and it still
  /// serves until `Kill`.
  void BeginStop(size_t daemon);
  /// Cuts \p daemon off from all other daemons, until `Connect`.
  void Cut(size_t daemon);
  void Connect(size_t daemon);

  uint32_t CountCrashes() const;
  uint32_t CountRejections() const;
  /// Returns the requests that were executed since the last call.
  uint64_t TakeServed() { return std::exchange(served_, 0); }
  /// Returns the requests that all upstreams together can execute in \p time.
  double Capacity(duration time) const;
  /// Messages between daemons so far.
  uint64_t message_count() const { return message_count_; }

 private:
  struct waiting {
    size_t upstream = 0;
    time_point arrived{};
  };
  struct daemon {
    std::unique_ptr<concurrency_permits> permits;
    uint64_t incarnation = 0;
    bool is_cut = false;
    bool is_leaving = false;
    std::deque<waiting> queue;
    std::vector<uint32_t> in_flight;
    std::vector<uint32_t> unused;
    std::vector<uint64_t> rejected;
  };
  struct event {
    time_point at{};
    uint64_t number = 0;
    std::function<void()> run;
    bool operator>(const event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };
  struct sent_request {
    size_t daemon = 0;
    uint64_t incarnation = 0;
    size_t upstream = 0;
  };

  static endpoint AddressOf(size_t daemon);
  void At(time_point at, std::function<void()> run);
  duration Latency();
  void Start(size_t index);
  void UpdateFleet();
  void ArriveRandomly();
  void Arrive();
  void Tick(size_t index, uint64_t incarnation);
  /// Uses the permits of a daemon and delivers its messages.
  void Process(size_t index);
  void Deliver(size_t from, const outgoing_concurrency_message& message);
  void Send(size_t index, size_t upstream);
  void OnArrivalAt(size_t upstream, uint64_t request);
  void OnEnd(uint64_t request, bool was_rejected);
  void WatchUpstream(size_t upstream);

  options options_;
  std::mt19937_64 random_;
  time_point now_{std::chrono::seconds(100)};
  uint64_t next_number_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<daemon> daemons_;
  std::vector<fragile_upstream> upstreams_;
  std::map<uint64_t, sent_request> sent_;
  uint64_t next_request_ = 1;
  uint64_t served_ = 0;
  uint64_t message_count_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_UNITTESTS_ADMISSION_CONCURRENCY_FLEET_H_
