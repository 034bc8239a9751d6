/// \file
/// Requests that wait for room.
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
  /// When it is given up on.
  time_point deadline{};
};

/// Orders waiting requests by arrival plus a head start per class, so that a
/// less urgent request is overtaken for a bounded time only. Within a class a
/// workspace that has many requests waiting is set back behind the others.
class wait_queue {
 public:
  /// Adds \p item.
  void Push(const waiting_request& item);
  /// Removes the request; does nothing when it does not wait.
  void Remove(request_id request);
  /// Offers each target's requests in order to \p try_place until it returns
  /// false `kLookahead` times for the target. Those that it takes are removed.
  void Drain(const std::function<bool(const waiting_request&)>& try_place);
  /// Removes and returns the requests whose deadline has passed.
  std::vector<waiting_request> TakeExpired(time_point now);
  /// Removes and returns all requests.
  std::vector<waiting_request> TakeAll();
  /// How many would be served before \p item, were it pushed now.
  size_t CountAhead(const waiting_request& item) const;
  size_t size() const { return places_.size(); }

 private:
  /// Sorts by virtual arrival, then by request.
  struct place {
    time_point virtual_arrival{};
    request_id request = 0;
    friend auto operator<=>(const place&, const place&) = default;
  };
  using line = std::map<place, waiting_request>;
  /// Where a waiting request stands.
  struct location {
    std::string target;
    place at;
  };

  /// Requests per target that may be passed over because of a limit of their
  /// own before the rest is left for later.
  static constexpr size_t kLookahead = 32;

  place MakePlace(const waiting_request& item) const;

  std::map<std::string, line, std::less<>> lines_;
  std::unordered_map<request_id, location> places_;
  std::unordered_map<uint64_t, uint32_t> waiting_by_workspace_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_WAIT_QUEUE_H_
