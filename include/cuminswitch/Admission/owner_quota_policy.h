/// \file
/// Quotas with one owner for each subject.
#ifndef CUMINSWITCH_ADMISSION_OWNER_QUOTA_POLICY_H_
#define CUMINSWITCH_ADMISSION_OWNER_QUOTA_POLICY_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Admission/even_quota_policy.h"
#include "cuminswitch/Admission/quota_owner.h"
#include "cuminswitch/Admission/quota_policy.h"

namespace cuminswitch {

/// What is done where nobody can be asked.
enum class quota_fallback : uint8_t {
  /// The daemon gives out an even part of the limit.
  kEvenShare,
  /// Nothing is taken: where a limit is a few requests a second, the parts of
  /// many daemons, of one request each at least, add up to many times of it.
  kRefuse,
};

/// Each subject (a workspace, or an upstream that names a limit) has an owner,
/// the first of the living daemons by rendezvous hashing, which all work out
/// alike. It is asked about every request, which takes one round trip within
/// the region, 1 to 3 ms. News that ride on beats are half a second old: a
/// subject that begins to send ten times its limit uses five seconds' worth of
/// it by then, and a part for each daemon is less than one long prompt.
///
/// What goes wrong, and what is done:
/// - The owner dies or cannot be reached. One notices by its silence. The next
///   in the order is asked, and is told what the last one had left.
/// - Daemons take different ones for the owner, for as long as they have
///   different news of who lives. One that does not take itself for the owner
///   hands the question on.
/// - Daemons are cut off from one another and each side has an owner. An owner
///   gives out only what falls to the daemons that it sees, out of all that the
///   deployment has, and takes in the part of those that come back only when
///   they too have noticed.
/// - An owner is cut off and does not know it yet. Who takes its place gives
///   out a quarter until it must have noticed.
/// - An owner comes back while some still ask the one that stood in for it. It
///   gives out half until all have noticed.
/// - The owner stops, and serves on for seconds. It passes itself over at
///   once, as the others do.
/// - Nobody answers. Without a fallback nothing is taken. Else a request is
///   taken if the subject had half of its burst left within the last two
///   seconds, or out of this daemon's even part; the owner that is reached next
///   is told how much that was.
/// - All daemons were killed and know nothing. An owner begins with half a
///   second's worth.
class owner_quota_policy : public quota_policy {
 public:
  struct options {
    endpoint self;
    /// Tells this start of the daemon from all others.
    uint64_t id = 0;
    quota_kind kind = quota_kind::kWorkspace;
    /// What becomes of a request while no owner answers.
    quota_fallback fallback = quota_fallback::kEvenShare;
  };

  /// A daemon that has just started takes so long to hear of most others: beats
  /// reach everybody at 68 hosts within 0.6 s.
  static constexpr duration kWarmUpTime = std::chrono::milliseconds(1'500);

  explicit owner_quota_policy(const options& opts);

  void SetFleet(time_point now, const quota_fleet_view& fleet) override;
  void Admit(time_point now, const quota_request& item) override;
  void Charge(time_point now, const quota_request& item) override;
  void OnQuery(time_point now, const quota_query& ask) override;
  void OnReply(time_point now, const quota_reply& verdict) override;
  void OnTick(time_point now) override;

 private:
  struct pending {
    quota_request item;
    endpoint asked;
    time_point asked_at{};
    uint32_t attempts = 0;
  };
  struct told_level {
    uint64_t owner = 0;
    double level = 0;
    time_point at{};
  };
  struct candidate {
    endpoint address;
    uint64_t hash = 0;
  };
  struct lost_daemon {
    candidate who;
    time_point at{};
  };
  struct seen_part {
    time_point from{};
    double part = 0;
  };

  /// The first daemon in the order that is not known to be silent.
  const endpoint& FindOwner(time_point now, uint64_t subject) const;
  /// The part of the limit that this daemon gives out as an owner.
  double Share(time_point now, uint64_t subject) const;
  /// Whether a daemon that fell silent just now, and may not know it, is before
  /// this one in the order.
  bool StandsIn(time_point now, uint64_t subject) const;
  /// Keeps those that are here and not among \p next.
  void NoteLost(time_point now, std::span<const candidate> next);
  /// Of that, what it gives out while another may give out too.
  double PartAsOwner(time_point now, uint64_t subject) const;
  /// The least part of the fleet that was seen of late.
  double SeenPart(time_point now) const;
  quota_query MakeAsk(time_point now, const quota_request& item) const;
  /// Reports \p weight units of \p item's subject, and asks nothing.
  quota_query MakeReport(time_point now,
                         const quota_request& item,
                         double weight) const;
  void Send(time_point now, pending asked);
  void DecideHere(time_point now, const quota_request& item);
  /// Nobody answers.
  void DecideAlone(time_point now, const quota_request& item);
  void Note(time_point now, uint64_t subject, const quota_reply& verdict);
  /// Tells an owner that answers what was taken without one.
  void ReportTaken(time_point now,
                   const quota_request& item,
                   const endpoint& owner);

  candidate self_;
  quota_owner owner_;
  quota_kind kind_;
  quota_fallback fallback_;
  even_quota_policy own_part_;
  std::vector<candidate> candidates_;
  /// Those that lived until just now.
  std::vector<lost_daemon> lost_;
  size_t known_ = 1;
  duration notice_time_{0};
  /// Parts of the fleet that lived, as far as was known; the latest one last.
  std::vector<seen_part> seen_;
  std::optional<time_point> started_at_;
  std::map<endpoint, time_point> silent_until_;
  /// When each owner last answered.
  std::map<endpoint, time_point> heard_at_;
  std::unordered_map<uint64_t, pending> pending_;
  std::unordered_map<uint64_t, told_level> told_;
  /// By subject, units that were taken without an owner and that none was
  /// told of.
  std::unordered_map<uint64_t, double> unreported_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_OWNER_QUOTA_POLICY_H_
