/// \file
/// Selects the hosts that a workspace's callers connect to.
#ifndef CUMINSWITCH_DAEMON_ADDRESS_BOOK_H_
#define CUMINSWITCH_DAEMON_ADDRESS_BOOK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Protocol/member.h"

namespace cuminswitch {

/// Chooses a few hosts per workspace by rendezvous hashing, so that all daemons
/// with the same member list return the same hosts and a workspace's traffic
/// concentrates on a few daemons. Only serving hosts are returned, and the
/// second host is in another failure domain than the first if there is one.
class address_book {
 public:
  void SetMembers(std::vector<member> members) {
    members_ = std::move(members);
  }

  /// Returns up to \p count hosts for \p workspace, best first.
  std::vector<const member*> Choose(std::string_view workspace,
                                    size_t count) const;

 private:
  std::vector<member> members_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_ADDRESS_BOOK_H_
