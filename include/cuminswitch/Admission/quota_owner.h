/// \file
/// The quotas that one daemon keeps for the fleet.
#ifndef CUMINSWITCH_ADMISSION_QUOTA_OWNER_H_
#define CUMINSWITCH_ADMISSION_QUOTA_OWNER_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "cuminswitch/Admission/quota_bucket.h"
#include "cuminswitch/Protocol/quota_message.h"
#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// Answers the questions of a fleet's daemons about the subjects that they
/// take this daemon for the owner of. Whatever it must know of the time before
/// comes with the questions, so that a daemon may begin to keep a subject at
/// any moment: the newest limit, and what the owner before it had left.
class quota_owner {
 public:
  /// \p id tells this start of the daemon from all others.
  explicit quota_owner(uint64_t id) : id_(id) {}

  /// Decides about a question, or takes a report in. \p share is the part of
  /// the limit that this daemon gives out.
  quota_reply OnQuery(time_point now, const quota_query& ask, double share);
  /// The daemons that asked about \p subject of late.
  size_t CountAskers(time_point now, uint64_t subject) const;
  /// Whether somebody was answered by another owner since \p since.
  bool HasOther(time_point since, uint64_t subject) const;
  /// Forgets what nobody asks for any more.
  void OnTick(time_point now);
  size_t size() const { return owned_.size(); }

 private:
  struct owned_quota {
    quota_bucket bucket;
    quota_limit limit;
    time_point asked_at{};
    std::map<endpoint, time_point> askers;
    /// When another owner last answered, as far as was told.
    time_point other_at{};
  };

  owned_quota& Find(time_point now, const quota_query& ask, double share);

  uint64_t id_;
  std::unordered_map<uint64_t, owned_quota> owned_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_QUOTA_OWNER_H_
