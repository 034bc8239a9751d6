/// \file
/// What callers and upstreams saw, held against what is promised.
#ifndef CUMINSWITCH_TEST_SOAK_PROMISE_LEDGER_H_
#define CUMINSWITCH_TEST_SOAK_PROMISE_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cuminswitch/Support/endpoint.h"
#include "soak/crash_check.h"
#include "soak/departure_check.h"
#include "soak/limit_check.h"
#include "soak/notice_check.h"
#include "soak/wall_time.h"

namespace cuminswitch::soak {

/// One request of a caller.
struct sent_request {
  std::string id;
  std::string path;
  std::string workspace;
  /// Where the daemon takes callers that it was sent to.
  endpoint daemon;
  wall_time sent_at{};
  /// It may run at most once.
  bool is_once = false;
  bool is_stream = false;
  /// Its upstream is to misbehave, so no success is owed.
  bool is_spoilt = false;
  /// It crashes each upstream that runs it; the same for those that are one
  /// request, and empty for all others.
  std::string crashing_as;
};

/// How a request ended for its caller.
struct seen_answer {
  /// 0 when the connection ended without an answer's head.
  uint32_t status = 0;
  /// The answer says which request it is for.
  std::string echoed_id;
  /// The upstream that made it, and whether that names a limit.
  std::string upstream;
  bool names_limit = false;
  bool says_leaving = false;
  std::string body;
  /// The answer ended as complete.
  bool is_whole = false;
  bool has_retry_after = false;
  /// The caller gave up waiting.
  bool is_overdue = false;
  /// The daemon lived undisturbed since a while before the request, so that
  /// nothing excuses a missing answer.
  bool is_daemon_sound = false;
};

/// Collects findings. Nothing here waits or guesses: each finding is a promise
/// broken by what was seen.
class promise_ledger {
 public:
  void OnSent(const sent_request& request);
  void OnAnswer(const sent_request& request, const seen_answer& answer);
  /// An upstream says that it ran a request.
  void OnRun(const std::string& id,
             const std::string& workspace,
             const std::string& upstream);
  /// A request of a sound daemon reached an upstream that names a limit.
  void OnLimited(const limit_check::arrival& item);
  /// A request of a sound daemon was refused by an upstream that asks for rest.
  void OnRested(const notice_arrival& item, std::chrono::milliseconds rest);
  /// A request of a sound daemon reached an upstream that leaves.
  void OnLeft(const notice_arrival& item);
  /// The store acknowledged that an upstream departs.
  void OnDepartureAcknowledged(const std::string& upstream, wall_time at) {
    departures_.OnAcknowledged(upstream, at);
  }
  /// A request reached an upstream that departs.
  void OnArrivalAtDeparted(const std::string& upstream,
                           wall_time at,
                           bool is_daemon_in_touch);
  /// An upstream ran the request \p id, and has crashed if it is one of those.
  void OnMaybeCrash(const std::string& id, bool is_daemon_sound);
  /// The daemon that the request was sent to; null where nobody sent it.
  const endpoint* DaemonOf(const std::string& id) const;
  /// An engine took an order.
  void OnOrder(const std::string& upstream,
               const std::string& holder,
               uint64_t fence);
  /// At the end, when nothing is on its way any more.
  void Close();
  void Find(const std::string& promise, const std::string& what);

  const std::vector<std::string>& findings() const { return findings_; }
  size_t served() const { return served_; }
  size_t sent() const { return requests_.size(); }
  /// Requests that limits were checked with.
  size_t limited() const { return limits_.counted(); }
  /// Requests that notices of upstreams were checked with.
  size_t noticed() const { return notices_.counted(); }
  size_t crashes() const { return crashes_.counted(); }
  size_t departures() const { return departures_.counted(); }
  size_t late_at_departed() const { return departures_.late(); }

 private:
  struct record {
    sent_request request;
    uint32_t runs = 0;
    uint32_t told = 0;
  };

  void CheckSuccess(const sent_request& request, const seen_answer& answer);

  std::map<std::string, record> requests_;
  /// The last fence that each engine saw, and who held each fence.
  std::map<std::string, uint64_t> fences_;
  std::map<uint64_t, std::string> holders_;
  limit_check limits_;
  notice_check notices_;
  crash_check crashes_;
  departure_check departures_;
  std::vector<std::string> findings_;
  size_t served_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_PROMISE_LEDGER_H_
