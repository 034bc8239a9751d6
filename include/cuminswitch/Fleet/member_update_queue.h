/// \file
/// News of members that go from daemon to daemon.
#ifndef CUMINSWITCH_FLEET_MEMBER_UPDATE_QUEUE_H_
#define CUMINSWITCH_FLEET_MEMBER_UPDATE_QUEUE_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Fleet/peer_frame.h"

namespace cuminswitch {

/// Keeps what this daemon has just learnt of members until it was told a few
/// times. Each daemon that learns something tells others of it, so that news
/// reach a fleet of any size within a few rounds of beats, at a cost that does
/// not depend on the size.
class member_update_queue {
 public:
  /// Times that one daemon tells of a member that serves. With sixteen, one
  /// daemon in nine million hears nothing of it at first, and is told in turn.
  static constexpr size_t kSendCount = 16;
  /// Times that one daemon tells of a member that is suspected or leaves.
  /// Callers must not be sent there. Half of those that are told may have died
  /// with it.
  static constexpr size_t kDepartureSendCount = 24;

  /// Takes in \p news in place of what is kept of that member.
  void Add(const member_update& news);
  /// Returns up to \p count for one beat, those told least first.
  std::vector<member_update> Take(size_t count);
  bool IsEmpty() const { return kept_.empty(); }

 private:
  struct kept_news {
    member_update news;
    size_t tellings = 0;
  };

  std::map<std::string, kept_news> kept_;
  /// The names in `kept_` by how often each was told.
  std::set<std::pair<size_t, std::string>> order_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_MEMBER_UPDATE_QUEUE_H_
