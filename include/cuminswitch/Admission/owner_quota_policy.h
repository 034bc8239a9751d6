/// \file
/// Quotas with one owning daemon per subject.
#ifndef CUMINSWITCH_ADMISSION_OWNER_QUOTA_POLICY_H_
#define CUMINSWITCH_ADMISSION_OWNER_QUOTA_POLICY_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Admission/even_quota_policy.h"
#include "cuminswitch/Admission/owner_selection.h"
#include "cuminswitch/Admission/quota_owner.h"
#include "cuminswitch/Admission/quota_policy.h"

namespace cuminswitch {

/// What a daemon does when no owner replies.
enum class quota_fallback : uint8_t {
  /// It grants an even share of the limit.
  kEvenShare,
  /// It refuses all requests. Used where a limit is a few requests per second:
  /// the shares of many daemons, of at least one request each, would add up to
  /// many times the limit.
  kRefuse,
};

/// Each subject (a workspace, or an upstream that advertises a limit) has an
/// owner: the first of the alive daemons by rendezvous hashing, which each
/// daemon computes by itself. The owner is queried for every request, at the
/// cost of one round trip within the region, 1 to 3 ms. Usage reports in
/// heartbeats are no substitute: they are half a second old, and a subject that
/// starts to send ten times its limit uses five seconds' worth of it by then.
/// Neither are even shares, which are less than one long prompt.
///
/// Failures and how they are handled:
/// - The owner fails or is unreachable, which shows as a missing reply. The
///   next daemon in the order is queried, with the level that the last owner
///   reported.
/// - Daemons disagree on the owner while their views of the alive daemons
///   differ. A daemon that is not the owner in its own view forwards the query.
/// - A network partition leaves an owner on each side. An owner grants only the
///   share of the daemons that it sees alive among all of the deployment. After
///   the partition heals, it adds the share of the daemons that return only
///   once they must have noticed it as well.
/// - An owner is partitioned and does not know it yet. The daemon that takes
///   over grants a quarter until the old owner must have noticed.
/// - An owner restarts while some daemons still query the one that took over.
///   It grants half until all have noticed.
/// - An owner shuts down gracefully and serves requests for some more seconds.
///   It excludes itself as an owner at once, as the other daemons do.
/// - No owner replies. With `quota_fallback::kRefuse`, all requests are
///   refused. Otherwise a request is admitted if the subject had half of its
///   burst left within the last two seconds, or else out of this daemon's even
///   share. The next owner that replies receives a report of these units.
/// - All daemons were killed and have no state. An owner starts with the units
///   of half a second.
class owner_quota_policy : public quota_policy {
 public:
  struct options {
    endpoint self;
    /// Unique to this start of the daemon.
    uint64_t id = 0;
    quota_kind kind = quota_kind::kWorkspace;
    /// How requests are decided while no owner replies.
    quota_fallback fallback = quota_fallback::kEvenShare;
  };

  explicit owner_quota_policy(const options& opts);

  void SetFleet(time_point now, const quota_fleet_view& fleet) override;
  void Admit(time_point now, const quota_request& item) override;
  void Charge(time_point now, const quota_request& item) override;
  void OnQuery(time_point now, const quota_query& query) override;
  void OnReply(time_point now, const quota_reply& reply) override;
  void OnTick(time_point now) override;

 private:
  /// A query without a reply yet.
  struct pending_query {
    quota_request item;
    endpoint owner;
    time_point sent_at{};
    /// Queries sent so far for the request.
    uint32_t attempts = 0;
  };
  /// The level of a subject as its owner last reported it.
  struct cached_level {
    uint64_t owner = 0;
    double level = 0;
    time_point at{};
  };

  /// Returns the share of the limit that this daemon grants to those that query
  /// it, from 0 to 1.
  double GrantedShare(time_point now, uint64_t subject) const;
  /// Returns the factor by which the owner reduces its share while another
  /// daemon may grant units of the subject as well; 1 otherwise.
  double OwnerFactor(time_point now, uint64_t subject) const;
  quota_query MakeQuery(time_point now, const quota_request& item) const;
  /// Makes a query that reports \p weight units of \p item's subject and needs
  /// no reply.
  quota_query MakeReport(time_point now,
                         const quota_request& item,
                         double weight) const;
  /// Sends the query to the subject's owner, or decides if that is this daemon.
  void Send(time_point now, pending_query pending);
  /// Decides as the owner of the subject.
  void DecideAsOwner(time_point now, const quota_request& item);
  /// Decides by the fallback, since no owner replied.
  void DecideWithoutOwner(time_point now, const quota_request& item);
  /// Caches the level in an owner's reply.
  void CacheLevel(time_point now, uint64_t subject, const quota_reply& reply);
  /// Reports the units that were admitted without an owner to \p owner.
  void ReportUnreported(time_point now,
                        const quota_request& item,
                        const endpoint& owner);

  owner_selection owners_;
  quota_owner owner_;
  quota_kind kind_;
  quota_fallback fallback_;
  even_quota_policy even_policy_;
  /// When each owner last replied.
  std::map<endpoint, time_point> last_reply_at_;
  /// By ticket.
  std::unordered_map<uint64_t, pending_query> pending_;
  /// By subject.
  std::unordered_map<uint64_t, cached_level> cached_levels_;
  /// By subject, units that were admitted without an owner and not yet reported
  /// to one.
  std::unordered_map<uint64_t, double> unreported_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_OWNER_QUOTA_POLICY_H_
