/// \file
/// Queue of requests that wait for capacity at a target.
#ifndef CUMINSWITCH_ADMISSION_WAIT_QUEUE_H_
#define CUMINSWITCH_ADMISSION_WAIT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// One waiting request.
struct waiting_request {
  request_id request = 0;
  std::string target;
  priority_class priority = priority_class::kStandard;
  uint64_t workspace_hash = 0;
  time_point arrived{};
  /// When the request times out.
  time_point deadline{};
};

/// Orders waiting requests by their arrival plus a delay per priority class, so
/// that a less urgent request is overtaken for a bounded time only. Within a
/// class, the requests of a workspace that already has many waiting are delayed
/// further, and stay in the order of their arrivals.
class wait_queue {
 public:
  void Push(const waiting_request& item);
  /// Removes the request; does nothing when it is not in the queue.
  void Remove(request_id request);
  /// Offers each target's requests in order to \p try_place until it returns
  /// false `kLookahead` times for the target. Those for which it returns true
  /// are removed.
  void Drain(const std::function<bool(const waiting_request&)>& try_place);
  /// Removes and returns the requests whose deadline has passed.
  std::vector<waiting_request> TakeExpired(time_point now);
  /// Removes and returns all requests.
  std::vector<waiting_request> TakeAll();
  /// Returns how many requests of the same target would be ahead of \p item if
  /// it were pushed now.
  size_t CountAhead(const waiting_request& item) const;
  size_t size() const { return locations_.size(); }

 private:
  /// Sort key: virtual arrival, then request.
  struct position {
    /// Arrival plus all delays.
    time_point virtual_arrival{};
    request_id request = 0;
    friend auto operator<=>(const position&, const position&) = default;
  };
  using target_queue = std::map<position, waiting_request>;
  /// Where a waiting request is stored.
  struct location {
    std::string target;
    position at;
  };

  /// How many of a target's requests may be skipped in one call of `Drain`. A
  /// request may be held up by a limit of its own that others don't share.
  static constexpr size_t kLookahead = 32;

  position MakePosition(const waiting_request& item) const;

  /// By target.
  std::map<std::string, target_queue, std::less<>> queues_;
  std::unordered_map<request_id, location> locations_;
  std::unordered_map<uint64_t, uint32_t> waiting_by_workspace_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_WAIT_QUEUE_H_
