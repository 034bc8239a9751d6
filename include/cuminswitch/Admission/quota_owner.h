/// \file
/// The quotas that one daemon owns on behalf of the fleet.
#ifndef CUMINSWITCH_ADMISSION_QUOTA_OWNER_H_
#define CUMINSWITCH_ADMISSION_QUOTA_OWNER_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "cuminswitch/Admission/quota_bucket.h"
#include "cuminswitch/Protocol/quota_message.h"
#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// Replies to the queries of the fleet's daemons about the subjects that this
/// daemon owns in their view. Each query carries the state that a new owner
/// needs, the newest limit and the level that the previous owner reported, so a
/// daemon may become the owner of a subject at any time.
class quota_owner {
 public:
  /// \p id is unique to this start of the daemon.
  explicit quota_owner(uint64_t id) : id_(id) {}

  /// Decides about a query, or applies a report. \p share is the share of the
  /// limit that this daemon grants.
  quota_reply OnQuery(time_point now, const quota_query& query, double share);
  /// Returns the number of daemons that recently queried \p subject.
  size_t CountRequesters(time_point now, uint64_t subject) const;
  /// Whether another owner is known to have replied to a query about
  /// \p subject since \p since.
  bool HasOtherOwner(time_point since, uint64_t subject) const;
  /// Removes the subjects and daemons without recent queries.
  void OnTick(time_point now);
  size_t size() const { return owned_.size(); }

 private:
  struct owned_quota {
    quota_bucket bucket;
    quota_limit limit;
    time_point last_query_at{};
    /// When each daemon last queried the subject.
    std::map<endpoint, time_point> requesters;
    /// When another owner last replied, according to the queries.
    time_point other_owner_at{};
  };

  /// Returns the quota of the query's subject, created if it is new.
  owned_quota& Find(time_point now, const quota_query& query, double share);

  uint64_t id_;
  /// By subject.
  std::unordered_map<uint64_t, owned_quota> owned_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_QUOTA_OWNER_H_
